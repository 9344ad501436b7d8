/** Keys as the journal knows them. */
import {createHash} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import type {ServiceName} from '@pomelopick/core.types';
import {JournalKeySchema} from '@pomelopick/peer.protocol';
import type {JournalKey} from '@pomelopick/peer.protocol';

const DIGEST_HEX_DIGITS = 32;
const SHARD_HEX_DIGITS = 8;
const MOST_KEY_LENGTH = 255;
/** UUID of version 7 (RFC 9562, section 5.7): its first 48 bits are milliseconds since the epoch. */
const TIMED_UUID = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iu;
const KEY_TEXT = /^[\u0021-\u007E]+$/u;

/** Options of {@link toJournalKey}. */
export interface ToJournalKeyOptions {
	/** Value of the `Idempotency-Key` header. */
	readonly key: string;
	readonly service: ServiceName;
	/** Shards of the journal. */
	readonly shards: number;
}

/** Digests a key and finds its shard; undefined when the key is not 1 to 255 visible ASCII characters. */
export function toJournalKey({key, service, shards}: ToJournalKeyOptions): JournalKey | undefined {
	if (key.length > MOST_KEY_LENGTH || !KEY_TEXT.test(key)) {
		return undefined;
	}

	const digest = createHash('sha256').update(`${service}\0${key}`).digest('hex').slice(0, DIGEST_HEX_DIGITS);
	return create(JournalKeySchema, {
		digest, shard: Number.parseInt(digest.slice(0, SHARD_HEX_DIGITS), 16) % shards, mintedAtMs: BigInt(readMintedAtMs(key)),
	});
}

/** Time that a UUID of version 7 carries, in milliseconds since the epoch; 0 for any other key. */
export function readMintedAtMs(key: string): number {
	const match = TIMED_UUID.exec(key);
	return match ? Number.parseInt(`${match[1]}${match[2]}`, 16) : 0;
}
