/**
 * Pauses that backend servers requested when they rejected a request.
 *
 * An overloaded server states for how long it wants no requests from this instance. Nothing is sent to it during the
 * pause, so that only the requests that are already in flight still arrive. A pause is valid for one start of the
 * server.
 */
import {ServerStartMap} from './server-start-map.js';
import type {ServerStart} from './server-start-map.js';

/** Maximum pause, in milliseconds: a pause requested by mistake must not take a server out of use for good. */
export const MAX_REQUESTED_PAUSE_MS = 600_000;
/** Maximum number of starts that are kept; the ones whose pause was recorded first are removed first. */
const MAX_STARTS = 8192;

/** Options of {@link RequestedPauses.record}. */
export interface RecordPauseOptions {
	readonly server: ServerStart;
	/** Time for which the server wants no requests, in milliseconds. */
	readonly pauseMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** The pauses that servers requested from this instance. */
export class RequestedPauses {
	readonly #endsMs = new ServerStartMap<number>({maxStarts: MAX_STARTS});

	/** Records a pause; one that would end before the current one changes nothing. Returns the end of the server's pause, in monotonic milliseconds. */
	record({server, pauseMs, nowMs}: RecordPauseOptions): number {
		const requestedUntilMs = nowMs + Math.min(pauseMs, MAX_REQUESTED_PAUSE_MS);
		const untilMs = Math.max(requestedUntilMs, this.#endsMs.get(server) ?? requestedUntilMs);
		this.#endsMs.set(server, untilMs);
		return untilMs;
	}

	/** Monotonic time at which the server's pause ends, in milliseconds; undefined when it is not paused. */
	endMs({server, nowMs}: {readonly server: ServerStart; readonly nowMs: number}): number | undefined {
		const untilMs = this.#endsMs.get(server);
		return untilMs !== undefined && nowMs < untilMs ? untilMs : undefined;
	}
}
