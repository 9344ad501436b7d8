/** Queries the whole fleet: gets the list of members from one instance, then queries all of them concurrently. */
import {EitherAsync, Right} from 'purify-ts';
import type {
	CodedError, Endpoint, MemberReport, StatusReport,
} from '@pomelopick/core.types';
import {getJson} from './operator-client.js';

/** A member that did not respond. */
export interface MissingInstance {
	readonly id: string;
	readonly operators: Endpoint;
	readonly detail: string;
}

/** Responses of the whole fleet. */
export interface FleetResponses<Shape> {
	/** Responses of the instances, sorted by instance id. */
	readonly responses: ReadonlyArray<{readonly id: string; readonly response: Shape}>;
	readonly missing: readonly MissingInstance[];
}

/** Options of {@link queryFleet}. */
export interface QueryFleetOptions {
	/** Listener for operators of any live instance. */
	readonly instance: Endpoint;
	/** Path and query string of the request to each member. */
	readonly path: string;
	/** Called with a text that says how many members are queried. */
	readonly onProgress: (line: string) => void;
}

/** Queries all members. Left if the first instance does not respond; members that do not respond are listed as missing. */
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

/** Queries all members concurrently. */
export async function queryMembers<Shape>({members, path}: QueryMembersOptions): Promise<FleetResponses<Shape>> {
	const sorted = [...members].sort((left, right) => left.id.localeCompare(right.id, 'en', {numeric: true}));
	const results = await Promise.all(sorted.map(async ({id, operators}) => ({
		id, operators, response: await getJson<Shape>({endpoint: operators, path}).run(),
	})));
	return {
		responses: results.flatMap(({id, response}) => response.map(found => [{id, response: found}]).orDefault([])),
		missing: results.flatMap(({id, operators, response}) => response.swap().map(({message}) => [{id, operators, detail: message}]).orDefault([])),
	};
}

/** Returns one line for each missing member. */
export function formatMissing(missing: readonly MissingInstance[]): string[] {
	return missing.map(({id, operators: {address, port}, detail}) => `missing: ${id} at ${address}:${port}: ${detail}`);
}
