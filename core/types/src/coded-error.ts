/** Errors that carry a stable code. */

/** An error with a stable code, for outcomes that a caller must tell apart. */
export interface CodedError {
	readonly code: string;
	/** Names the field or key concerned, the value found and what was expected. */
	readonly message: string;
}
