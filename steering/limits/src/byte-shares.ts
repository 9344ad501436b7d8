/** Decides how many bytes one request may hold. */

/** Share of an instance's bytes in which responses are read ahead of their callers; the rest stays free for bodies of requests. */
const READ_AHEAD_SHARE = 0.25;
/**
 * Part of the bytes that are still free which one response may hold. N responses then settle at 1 / (N + 2) of the bytes
 * each, and a further one always finds some free (A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for
 * shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2), 1998).
 */
const FREE_PART = 0.5;

/** Bytes that an instance holds. */
export interface HeldBytes {
	/** Maximum for all requests together. */
	readonly maxBytes: number;
	/** Bytes that all requests hold. */
	readonly heldBytes: number;
	/** Those among them that belong to responses. */
	readonly responseBytes: number;
}

/** Returns the bytes that one response may hold while its caller reads more slowly than its server writes. Responds to callers that read slowly. */
export function maxReadAheadBytes({maxBytes, heldBytes, responseBytes}: HeldBytes): number {
	const freeBytes = Math.min((maxBytes * READ_AHEAD_SHARE) - responseBytes, maxBytes - heldBytes);
	return Math.max(0, freeBytes * FREE_PART);
}
