/** The error of a connection that the other side reset. */

/**
 * Reported in place of the operating system's `ECONNRESET`, which the HTTP library takes for the end of a response that
 * ends with its connection.
 */
export class ConnectionResetError extends Error {
	/** Code by which it is known, like the errors of the library. */
	get code(): 'ERR_CONNECTION_RESET' {
		return 'ERR_CONNECTION_RESET';
	}
}
