/** Fingerprints of requests. Copies of a request have the same fingerprint at every instance. */
import {createHash} from 'node:crypto';
import type {Brand, ServiceName} from '@pomelopick/core.types';

/** SHA-256 of a request's method, service, path, body length, caller (where given) and body, in hexadecimal. */
export type RequestFingerprint = Brand<string, 'RequestFingerprint'>;

/** Options of {@link fingerprintOf}. */
export interface FingerprintOptions {
	readonly method: string;
	readonly service: ServiceName;
	/** Path and query. */
	readonly path: string;
	/** Declared length of the body; undefined if the request declares none. */
	readonly bodyLength: string | undefined;
	/** Address of the caller; set if equal requests of different callers are to have different fingerprints. */
	readonly caller?: string;
	/** The body, or its first bytes if it is too large to buffer. */
	readonly bodyStart: Uint8Array;
}

/** Computes the fingerprint of a request. */
export function fingerprintOf({method, service, path, bodyLength, caller = '', bodyStart}: FingerprintOptions): RequestFingerprint {
	// None of these parts can contain a line feed, so different requests never produce the same hash input.
	const hash = createHash('sha256').update(`${method}\n${service}\n${path}\n${bodyLength ?? ''}\n${caller}\n`);
	return hash.update(bodyStart).digest('hex') as RequestFingerprint;
}

/** Number of leading characters of a fingerprint that are written to logs; enough to distinguish requests there. */
const LOGGED_CHARACTERS = 12;

/** Shortens a fingerprint for logs. */
export function shortenFingerprint(fingerprint: RequestFingerprint): string {
	return fingerprint.slice(0, LOGGED_CHARACTERS);
}
