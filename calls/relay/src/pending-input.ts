/** Lets the event loop take in what has arrived already. */
import {setImmediate as turn} from 'node:timers/promises';

/** Turns of the event loop: the end of a connection is read one turn after the bytes before it. */
const TURNS = 2;

/**
 * Resolves when what had arrived at the time of the call has been told, as that a caller has left. Takes no time worth
 * mentioning on an idle process; on one that reads late, callers may have left long before their requests are read.
 */
export async function takeInPending(): Promise<void> {
	for (let count = 0; count < TURNS; count += 1) {
		await turn();
	}
}
