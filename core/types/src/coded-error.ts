/** Errors that carry a stable code. */

/** An error with a stable code, for outcomes that the calling code must distinguish. */
export interface CodedError {
	readonly code: string;
	/** Contains the field or key, the value found and the expected value. */
	readonly message: string;
}
