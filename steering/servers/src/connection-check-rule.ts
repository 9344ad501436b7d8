/**
 * Decides whether a backend server must be asked for its state on a connection before a request is sent on it.
 *
 * A server that restarts under its name is cold, and all connections to the process before it are closed. The process at
 * the other end of a connection is therefore the known one if the connection was opened so long ago that the store would
 * have reported a later start. While the store does not answer, it reports none, and an instance that had no open connection
 * at the restart notices nothing. It must then ask on each connection that it opened since.
 */

/** Age from which a view no longer shows restarts in time, in milliseconds: longer than the time between two confirmations of an idle store, which is a second. */
export const CURRENT_VIEW_MS = 1200;
/** Time after its start within which the store has the entry of a server, in milliseconds: it is written with a heartbeat, and may be one heartbeat late. */
const ENTRY_DELAY_MS = 2500;

/** How well the view of the store is confirmed. */
export interface ViewConfirmation {
	/** Time since the store last confirmed that no changes are missing, in milliseconds. */
	readonly ageMs: number;
	/** Monotonic time since which no two confirmations were {@link CURRENT_VIEW_MS} or more apart, in milliseconds. */
	readonly currentSinceMs: number;
}

/** Options of {@link mustCheckConnection}. */
export interface MustCheckConnectionOptions {
	/** Monotonic time at which the connection was opened, in milliseconds. */
	readonly openedAtMs: number;
	readonly view: ViewConfirmation;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Whether a server may have restarted before a connection to it was opened, without an entry in the view of the store. */
export function mustCheckConnection({openedAtMs, view: {ageMs, currentSinceMs}, nowMs}: MustCheckConnectionOptions): boolean {
	const isCurrent = ageMs < CURRENT_VIEW_MS && nowMs - currentSinceMs >= ENTRY_DELAY_MS;
	const confirmedAtMs = nowMs - ageMs;
	const isConfirmed = confirmedAtMs - Math.max(openedAtMs, currentSinceMs) >= ENTRY_DELAY_MS;
	return !isCurrent && !isConfirmed;
}
