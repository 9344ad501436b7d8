/**
 * Pauses that backend servers requested when they rejected a request.
 *
 * An overloaded server states for how long it wants no requests from this instance. Nothing is sent to it during the
 * pause, so that only the requests that are already in flight still arrive. A pause is valid for one start of the
 * server. A server that has restarted may ask for one before its start is known here: the pause then also applies to a
 * start that becomes known later and lies before the response.
 */
import type {BackendServerName} from '@pomelopick/core.types';
import {ServerStartMap} from './server-start-map.js';
import type {ServerStart} from './server-start-map.js';

/** Maximum pause, in milliseconds: a pause requested by mistake must not take a server out of use for good. */
export const MAX_REQUESTED_PAUSE_MS = 600_000;
/** Maximum number of starts that are kept; the ones whose pause was recorded first are removed first. */
const MAX_STARTS = 8192;
/** Maximum number of pauses that are kept of a server for starts that are not known yet. */
const MAX_LATEST = 8;

/** Options of {@link RequestedPauses.record}. */
export interface RecordPauseOptions {
	readonly server: ServerStart;
	/** Time for which the server wants no requests, in milliseconds. */
	readonly pauseMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Wall-clock time of the response, in milliseconds; undefined: the pause applies to the given start alone. */
	readonly respondedAtMs?: number;
}

/** A pause that may have been requested by a start that is not known yet. */
interface LatestPause {
	/** Wall-clock times of the known start and of the response, in milliseconds. */
	readonly knownStartMs: number;
	readonly respondedAtMs: number;
	readonly untilMs: number;
}

/** The pauses that servers requested from this instance. */
export class RequestedPauses {
	readonly #endsMs = new ServerStartMap<number>({maxStarts: MAX_STARTS});
	/** By server, its last pauses, each ending before the one before; the oldest servers are removed first. */
	readonly #latest = new Map<BackendServerName, readonly LatestPause[]>();

	/** Records a pause; one that would end before the current one changes nothing. Returns the end of the server's pause, in monotonic milliseconds. */
	record({server, pauseMs, nowMs, respondedAtMs}: RecordPauseOptions): number {
		const requestedUntilMs = nowMs + Math.min(pauseMs, MAX_REQUESTED_PAUSE_MS);
		const untilMs = Math.max(requestedUntilMs, this.#endsMs.get(server) ?? requestedUntilMs);
		this.#endsMs.set(server, untilMs);
		if (respondedAtMs !== undefined) {
			this.#recordLatest({server, pause: {knownStartMs: server.startedAtMs ?? Number.NEGATIVE_INFINITY, respondedAtMs, untilMs: requestedUntilMs}});
		}

		return untilMs;
	}

	/** Monotonic time at which the server's pause ends, in milliseconds; undefined when it is not paused. */
	endMs({server, nowMs}: {readonly server: ServerStart; readonly nowMs: number}): number | undefined {
		const untilMs = Math.max(this.#endsMs.get(server) ?? nowMs, this.#endOfUnknownStart(server) ?? nowMs);
		return nowMs < untilMs ? untilMs : undefined;
	}

	/** End of the pauses that a start may have requested before it was known; undefined when there are none. */
	#endOfUnknownStart({name, startedAtMs}: ServerStart): number | undefined {
		return startedAtMs === undefined ? undefined : this.#latest.get(name)?.find(({knownStartMs, respondedAtMs}) => startedAtMs > knownStartMs && startedAtMs <= respondedAtMs)?.untilMs;
	}

	#recordLatest({server: {name}, pause}: {readonly server: ServerStart; readonly pause: LatestPause}): void {
		const longer = (this.#latest.get(name) ?? []).filter(({untilMs}) => untilMs > pause.untilMs);
		this.#latest.delete(name);
		this.#latest.set(name, [...longer, pause].slice(-MAX_LATEST));
		if (this.#latest.size > MAX_STARTS) {
			const [oldest] = this.#latest.keys();
			this.#latest.delete(oldest!);
		}
	}
}
