/**
 * The number of headers that a listener reads.
 *
 * The runtime drops headers beyond its maximum number without an error, also those that frame the body. A listener therefore
 * reads as many as fit into the maximum size of a head, and rejects a request with more.
 */
import type {IncomingMessage, Server} from 'node:http';

/** Size of the smallest header, in bytes: a name of one character, a colon and a line break. */
const MIN_HEADER_BYTES = 4;
/** A raw header is listed as a name and a value. */
const ENTRIES_PER_HEADER = 2;

/** Maximum number of headers of a request, which follows from the maximum size of its head. */
export class HeaderCount {
	/** Maximum number of headers that are read. */
	readonly max: number;

	/** Derives the maximum from the maximum size of a head, in bytes. */
	constructor({headBytes}: {readonly headBytes: number}) {
		this.max = Math.floor(headBytes / MIN_HEADER_BYTES);
	}

	/** Lets a server list one header more than the maximum, so that a longer head is recognized. */
	applyTo(server: Pick<Server, 'maxHeadersCount'>): void {
		server.maxHeadersCount = this.max + 1;
	}

	/** Whether a request has more headers, some of which may be missing from its list. */
	isExceededBy({rawHeaders}: Pick<IncomingMessage, 'rawHeaders'>): boolean {
		return rawHeaders.length > this.max * ENTRIES_PER_HEADER;
	}
}

/** Number of `Host` headers of a request. The runtime's parsed headers hold only the first, but a request with several is malformed (RFC 9112, section 3.2). */
export function countHosts({rawHeaders}: Pick<IncomingMessage, 'rawHeaders'>): number {
	return rawHeaders.filter((text, position) => position % ENTRIES_PER_HEADER === 0 && text.toLowerCase() === 'host').length;
}
