/** Lets the event loop process input that has already arrived. */
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop to wait. Two, since the end of a connection is read one turn after the bytes before it. */
const TURNS = 2;

/**
 * Resolves when events that had arrived before the call have been handled, such as the disconnection of a caller. This
 * takes negligible time in an idle process. In an overloaded one, callers may have disconnected long before their
 * requests are read.
 */
export async function processPendingInput(): Promise<void> {
	for (let count = 0; count < TURNS; count += 1) {
		await nextTurn();
	}
}
