/** Encodes and decodes the records of shards in the store. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {RecordReader, ViewChange} from '@pomelopick/calls.live';
import {
	decodeForeignJson, describeValue, isCount, isName, toFields,
} from '@pomelopick/core.types';
import type {CodedError, InstanceId} from '@pomelopick/core.types';
import {shards} from '@pomelopick/steering.quotas';
import type {InstanceProcess, ShardRecord} from '@pomelopick/steering.quotas';

/** Prefix of the keys of the shards. */
export const SHARD_PREFIX = 'pomelopick/quota-shards/';
/** Maximum size of a record, in bytes. */
const MAX_RECORD_BYTES = 4096;
/** Maximum length of an instance's name, in characters. */
const MAX_NAME_CHARACTERS = 256;
/** Maximum number of predecessors in a record: each is one more owner that was lost within ten minutes. */
const MAX_PREDECESSORS = 16;

/** Fields of a record in the store. */
interface ShardMessage {
	readonly owner: unknown;
	readonly process: unknown;
	readonly claim: unknown;
	readonly predecessors: unknown;
}

/** Key of a shard. */
export function shardKey(shard: number): string {
	return `${SHARD_PREFIX}${shard}`;
}

/** Encodes a record. */
export function encodeShard({owner, claim, predecessors}: ShardRecord): Uint8Array {
	return new TextEncoder().encode(JSON.stringify({
		owner: owner?.id ?? null, process: owner?.process ?? null, claim, predecessors,
	}));
}

/** Decodes a record; Left describes what is wrong with it. Never throws. */
export function decodeShard(bytes: Uint8Array): Either<CodedError, ShardRecord> {
	return decodeForeignJson({bytes, maxBytes: MAX_RECORD_BYTES}).chain<CodedError, ShardRecord>(value => {
		const {owner: id, process, claim, predecessors: encodedPredecessors} = toFields<ShardMessage>(value);
		const isReleased = id === null && process === null;
		const owner = readProcess({id, process});
		const predecessors = Array.isArray(encodedPredecessors) && encodedPredecessors.length <= MAX_PREDECESSORS
			? encodedPredecessors.map(predecessor => readProcess(toFields<InstanceProcess>(predecessor)))
			: [undefined];
		return (isReleased || owner) && isCount(claim) && predecessors.every(predecessor => predecessor !== undefined)
			? Right({owner, claim, predecessors})
			: Left({code: 'malformed-quota-shard', message: `owner, process, claim or predecessors is missing or cannot be used: ${describeValue(value)}`});
	});
}

function readProcess({id, process}: {readonly id?: unknown; readonly process?: unknown}): InstanceProcess | undefined {
	return isName(id, MAX_NAME_CHARACTERS) && isCount(process) ? {id: id as InstanceId, process} : undefined;
}

/** Options of {@link shardReader}. */
export interface ShardReaderOptions {
	readonly onRecord: (options: {readonly shard: number; readonly record: ShardRecord; readonly index: number}) => void;
	/** Called for each malformed record. */
	readonly onMalformed: (change: ViewChange) => void;
}

/** Creates a reader of the records of all shards. */
export function shardReader({onRecord, onMalformed}: ShardReaderOptions): RecordReader {
	return {
		prefix: SHARD_PREFIX,
		write({key, value, modifyIndex}) {
			const shard = shards.find(number => shardKey(number) === key);
			if (shard === undefined) {
				return;
			}

			decodeShard(value).ifLeft(({code, message}) => {
				onMalformed({
					event: 'quota-shard-refused', subject: key, detail: message, reason: code, storeIndex: modifyIndex,
				});
			}).ifRight(record => {
				onRecord({shard, record, index: modifyIndex});
			});
		},
	};
}
