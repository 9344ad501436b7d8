/** The record by which an instance announces itself to the others. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {decodeForeignJson, describeValue, usableEndpoint} from '@pomelopick/core.types';
import type {
	CodedError, Endpoint, FailureDomainName, InstanceCapacity, InstanceId, RegionName,
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
	/** Maximum number of headers of a forwarded request; undefined: an older build, which drops headers beyond the runtime's maximum. */
	readonly maxHeaders?: number | undefined;
	/** What the instance can bear; undefined: an older build, or its settings do not state it. */
	readonly capacity?: InstanceCapacity | undefined;
	/** Whether the instance wants no further callers for now; absent otherwise. */
	readonly isFull?: true | undefined;
}

/** Key of an instance's record. */
export function instanceKey(id: InstanceId): string {
	return `${INSTANCE_PREFIX}${id}`;
}

/** Encodes a record. */
export function encodeInstance(record: InstanceRecord): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(record));
}

/** Options of {@link decodeInstance}. */
export interface DecodeInstanceOptions {
	readonly key: string;
	readonly bytes: Uint8Array;
}

/** Decodes a record; Left describes what is wrong. A record that is returned belongs to the instance that its key names, and a client can connect to its endpoints. Never throws. */
export function decodeInstance({key, bytes}: DecodeInstanceOptions): Either<CodedError, InstanceRecord> {
	return decodeForeignJson({bytes, maxBytes: MAX_RECORD_BYTES}).chain<CodedError, InstanceRecord>(value => {
		const {id, failureDomain, region, callers, peers, maxHeaders, capacity, isFull} = (value ?? {}) as Partial<InstanceRecord>;
		const callersEndpoint = readEndpoint(callers);
		const peersEndpoint = readEndpoint(peers);
		const isWhole = typeof id === 'string' && typeof failureDomain === 'string' && typeof region === 'string' && callersEndpoint && (peers === undefined || peersEndpoint);
		if (!isWhole) {
			return Left({code: 'malformed-instance', message: `a field is missing, has the wrong type or cannot be used: ${describeValue(value)}`});
		}

		return instanceKey(id) === key
			? Right({
				id,
				failureDomain,
				region,
				callers: callersEndpoint,
				peers: peersEndpoint,
				maxHeaders: Number.isSafeInteger(maxHeaders) ? maxHeaders : undefined,
				capacity: readCapacity(capacity),
				isFull: isFull === true ? true : undefined,
			})
			: Left({code: 'misplaced-instance', message: `expected the id that the key names, found ${describeValue(id)}`});
	});
}

/** Maximum size of a record, in bytes; instances write a few hundred. */
const MAX_RECORD_BYTES = 65_536;

/** Reads a capacity; undefined if a number is missing or cannot be one, as the record is of use without it. */
function readCapacity(value: unknown): InstanceCapacity | undefined {
	const {cores, linkMbps, memoryMb} = (value ?? {}) as Partial<InstanceCapacity>;
	return isAmount(cores) && isAmount(linkMbps) ? {cores, linkMbps, ...(isAmount(memoryMb) && {memoryMb})} : undefined;
}

function isAmount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value > 0;
}

function readEndpoint(value: unknown): Endpoint | undefined {
	const {address, port} = (value ?? {}) as Partial<Endpoint>;
	return usableEndpoint({address, port});
}
