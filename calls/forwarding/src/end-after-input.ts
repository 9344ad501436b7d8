/**
 * Ends responses that are sent before the whole body of their request has arrived.
 *
 * A socket that is closed while it has unread bytes resets its connection, and a caller that is still sending can then lose a
 * response that it has not read yet. So what arrives is discarded for at most 1 s before the connection is closed (RFC 9112,
 * section 9.6).
 */
import type {ServerResponse} from 'node:http';

/** Time for which input is discarded, in milliseconds: several round trips, in which callers notice the response. */
const MAX_DISCARDING_MS = 1000;

/** Sends the last part of a response, and ends it once its request has arrived whole, its connection is closed, or the time is over. */
export function endAfterInput({response, body}: {readonly response: ServerResponse; readonly body: string}): void {
	const {req: request} = response;
	response.write(body);
	const end = (): void => {
		clearTimeout(timer);
		request.off('end', end).off('close', end);
		response.end();
	};

	const timer = setTimeout(end, MAX_DISCARDING_MS);
	request.on('end', end).on('close', end).resume();
}
