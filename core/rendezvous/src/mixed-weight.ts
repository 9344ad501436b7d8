/**
 * Weights for highest-random-weight hashing, computed from precomputed hashes of the owners and keys.
 *
 * The mixing function is the finalizer of MurmurHash3 (A. Appleby, 2011), in which each bit of the input changes each
 * bit of the result with a probability of one half.
 */
import {xxHash32} from 'js-xxhash';

/** Odd multiplier for the hashes of owners, so that the sum with a key's hash is not symmetric. */
const OWNER_MULTIPLIER = 0x9E_37_79_B1;
/** Multipliers of the finalizer. */
const FIRST_MULTIPLIER = 0x85_EB_CA_6B;
const SECOND_MULTIPLIER = 0xC2_B2_AE_35;

/** Hash of a text as an unsigned 32-bit number. */
export function hashTextToNumber(text: string): number {
	return xxHash32(text);
}

/** Weight of an owner for a key as an unsigned 32-bit number, from the hashes of both. */
export function mixWeight({keyHash, ownerHash}: {readonly keyHash: number; readonly ownerHash: number}): number {
	let mixed = keyHash + Math.imul(ownerHash, OWNER_MULTIPLIER);
	mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MULTIPLIER);
	mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
