/** Fingerprints of requests: equal for copies of a request, whoever sends them. */
import {createHash} from 'node:crypto';
import type {Brand, ServiceName} from '@pomelopick/core.types';

/** SHA-256 of a request's method, service, path and body, in hexadecimal. */
export type RequestFingerprint = Brand<string, 'RequestFingerprint'>;

/** Options of {@link fingerprintOf}. */
export interface FingerprintOptions {
	readonly method: string;
	readonly service: ServiceName;
	/** Path and query. */
	readonly path: string;
	/** Declared length of the body, where there is one. */
	readonly bodyLength: string | undefined;
	/** Address of the caller, where requests of different callers are told apart. */
	readonly caller?: string;
	/** The body, or its first bytes when it is too large to hold. */
	readonly bodyStart: Uint8Array;
}

/** Computes the fingerprint of a request. */
export function fingerprintOf({method, service, path, bodyLength, caller = '', bodyStart}: FingerprintOptions): RequestFingerprint {
	// No part can hold a line feed, so that no two requests give the same text.
	const hash = createHash('sha256').update(`${method}\n${service}\n${path}\n${bodyLength ?? ''}\n${caller}\n`);
	return hash.update(bodyStart).digest('hex') as RequestFingerprint;
}

/** Characters of a fingerprint that tell requests apart in a log. */
const SHOWN_CHARACTERS = 12;

/** Shortens a fingerprint for logs. */
export function showFingerprint(fingerprint: RequestFingerprint): string {
	return fingerprint.slice(0, SHOWN_CHARACTERS);
}
