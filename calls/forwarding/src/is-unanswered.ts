/** Whether a caller's response can still be started. */
import type {ServerResponse} from 'node:http';

/** False once a response was started, for instance by the listener, which refuses malformed rests of uploads, or its connection has closed. */
export function isUnanswered({headersSent, destroyed}: ServerResponse): boolean {
	return !headersSent && !destroyed;
}
