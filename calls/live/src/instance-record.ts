/** The record by which an instance announces itself to the others. */
import {isIP} from 'node:net';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {
	CodedError, Endpoint, FailureDomainName, InstanceId, RegionName,
} from '@pomelopick/core.types';

/** Prefix of the keys under which instances write their records. */
export const INSTANCE_PREFIX = 'pomelopick/instances/';

/** Description that an instance publishes of itself. */
export interface InstanceRecord {
	readonly id: InstanceId;
	readonly failureDomain: FailureDomainName;
	readonly region: RegionName;
	/** Listener for callers. */
	readonly callers: Endpoint;
	/** Listener for other instances; undefined: it forwards no changes to them. */
	readonly peers: Endpoint | undefined;
}

/** Key of an instance's record. */
export function instanceKey(id: InstanceId): string {
	return `${INSTANCE_PREFIX}${id}`;
}

/** Encodes a record. */
export function encodeInstance(record: InstanceRecord): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(record));
}

/** Decodes a record; Left describes what is wrong. */
export function decodeInstance(bytes: Uint8Array): Either<CodedError, InstanceRecord> {
	try {
		const record = JSON.parse(new TextDecoder().decode(bytes)) as Partial<InstanceRecord>;
		const {id, failureDomain, region, callers, peers} = record;
		const isWhole = typeof id === 'string' && typeof failureDomain === 'string' && typeof region === 'string' && isEndpoint(callers) && (peers === undefined || isEndpoint(peers));
		return isWhole
			? Right({
				id, failureDomain, region, callers, peers,
			})
			: Left({code: 'malformed-instance', message: `a field is missing or has the wrong type: ${JSON.stringify(record).slice(0, SHOWN_CHARACTERS)}`});
	} catch (error) {
		return Left({code: 'malformed-instance', message: (error as Error).message});
	}
}

const SHOWN_CHARACTERS = 200;

function isEndpoint(value: Partial<Endpoint> | undefined): value is Endpoint {
	return isIP(value?.address ?? '') !== 0 && Number.isInteger(value?.port);
}
