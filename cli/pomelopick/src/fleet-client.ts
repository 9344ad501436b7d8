/** Asks one instance for the fleet, then all of its members at the same time. */
import {EitherAsync, Right} from 'purify-ts';
import type {
	CodedError, Endpoint, MemberReport, StatusReport,
} from '@pomelopick/core.types';
import {getJson} from './operator-client.js';

/** A member that gave no answer. */
export interface MissingInstance {
	readonly id: string;
	readonly operators: Endpoint;
	readonly detail: string;
}

/** Answers of the whole fleet. */
export interface FleetResponses<Shape> {
	/** Instance id and its answer, in the order of the ids. */
	readonly responses: ReadonlyArray<{readonly id: string; readonly answer: Shape}>;
	readonly missing: readonly MissingInstance[];
}

/** Options of {@link queryFleet}. */
export interface QueryFleetOptions {
	/** Listener for operators of any live instance. */
	readonly instance: Endpoint;
	/** Path and query that each member is asked for. */
	readonly path: string;
	/** Told how many members are asked. */
	readonly onProgress: (line: string) => void;
}

/** Left: the first instance does not answer. Members that do not answer are listed as missing. */
export function queryFleet<Shape>({instance, path, onProgress}: QueryFleetOptions): EitherAsync<CodedError, FleetResponses<Shape>> {
	return getJson<StatusReport>({endpoint: instance, path: '/v1/status'}).chain(({instances}) => {
		onProgress(`asking ${instances.length} instances`);
		return EitherAsync.fromPromise(async () => Right(await queryMembers<Shape>({members: instances, path})));
	});
}

/** Options of {@link queryMembers}. */
export interface QueryMembersOptions {
	readonly members: ReadonlyArray<Pick<MemberReport, 'id' | 'operators'>>;
	readonly path: string;
}

/** Asks all members at the same time. */
export async function queryMembers<Shape>({members, path}: QueryMembersOptions): Promise<FleetResponses<Shape>> {
	const sorted = [...members].sort((left, right) => left.id.localeCompare(right.id, 'en', {numeric: true}));
	const asked = await Promise.all(sorted.map(async ({id, operators}) => ({
		id, operators, answer: await getJson<Shape>({endpoint: operators, path}).run(),
	})));
	return {
		responses: asked.flatMap(({id, answer}) => answer.map(found => [{id, answer: found}]).orDefault([])),
		missing: asked.flatMap(({id, operators, answer}) => answer.swap().map(({message}) => [{id, operators, detail: message}]).orDefault([])),
	};
}

/** Lines that name the missing members; none when all answered. */
export function formatMissing(missing: readonly MissingInstance[]): string[] {
	return missing.map(({id, operators: {address, port}, detail}) => `missing: ${id} at ${address}:${port}: ${detail}`);
}
