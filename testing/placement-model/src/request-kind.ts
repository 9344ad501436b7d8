/** Kinds of requests. */

/** A kind of request. */
export interface RequestKind {
	readonly name: string;
	/** Share of the requests that are of this kind, from 0 to 1. */
	readonly share: number;
	/** Time within which an answer earns its full credit, and by which it is of any use, in milliseconds. */
	readonly targetLatencyMs: number;
	readonly deadlineMs: number;
	/** Work at a server that has the object in memory, and at one that has not, in milliseconds. */
	readonly warmMs: number;
	readonly coldMs: number;
}
