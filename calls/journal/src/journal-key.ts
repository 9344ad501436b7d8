/** Conversion of idempotency keys to keys of the journal. */
import {createHash} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import type {ServiceName} from '@pomelopick/core.types';
import {JournalKeySchema} from '@pomelopick/peer.protocol';
import type {JournalKey} from '@pomelopick/peer.protocol';

const DIGEST_HEX_DIGITS = 32;
const SHARD_HEX_DIGITS = 8;
const MAX_KEY_LENGTH = 255;
/** UUID of version 7 (RFC 9562, section 5.7): its first 48 bits are milliseconds since the epoch. */
const UUID_VERSION_7 = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iu;
const VALID_KEY = /^[\u0021-\u007E]+$/u;

/** Options of {@link toJournalKey}. */
export interface ToJournalKeyOptions {
	/** Value of the `Idempotency-Key` header. */
	readonly key: string;
	readonly service: ServiceName;
	/** Number of shards of the journal. */
	readonly shards: number;
}

/** Computes the digest and the shard of a key; undefined when the key is not 1 to 255 visible ASCII characters. */
export function toJournalKey({key, service, shards}: ToJournalKeyOptions): JournalKey | undefined {
	if (key.length > MAX_KEY_LENGTH || !VALID_KEY.test(key)) {
		return undefined;
	}

	const digest = createHash('sha256').update(`${service}\0${key}`).digest('hex').slice(0, DIGEST_HEX_DIGITS);
	return create(JournalKeySchema, {
		digest, shard: Number.parseInt(digest.slice(0, SHARD_HEX_DIGITS), 16) % shards, mintedAtMs: BigInt(readMintedAtMs(key)),
	});
}

/** Time in a UUID of version 7, in milliseconds since the epoch; 0 for any other key. */
export function readMintedAtMs(key: string): number {
	const match = UUID_VERSION_7.exec(key);
	return match ? Number.parseInt(`${match[1]}${match[2]}`, 16) : 0;
}
