/**
 * Pauses that backend servers asked for when they turned a request away.
 *
 * A server that is overloaded says for how long it wants nothing from this instance. Until then nothing is sent there,
 * so that what still is on its way remains all that arrives. The pause ends with the server's process.
 */
import {ServerStartMap} from './server-start-map.js';
import type {ServerStart} from './server-start-map.js';

/** Longest pause that is kept, in milliseconds: one asked for by mistake does not take a server out for good. */
export const MAX_REQUESTED_PAUSE_MS = 600_000;
/** Starts that are remembered; the ones that asked first are forgotten first. */
const MAX_STARTS = 8192;

/** Options of {@link RequestedPauses.record}. */
export interface RecordPauseOptions {
	readonly server: ServerStart;
	/** Time for which the server wants nothing, in milliseconds. */
	readonly pauseMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** The pauses that this instance was asked for. */
export class RequestedPauses {
	readonly #endsMs = new ServerStartMap<number>({most: MAX_STARTS});

	/** Notes a pause; one that would end before an earlier one changes nothing. Answers its end, in monotonic milliseconds. */
	record({server, pauseMs, nowMs}: RecordPauseOptions): number {
		const askedUntilMs = nowMs + Math.min(pauseMs, MAX_REQUESTED_PAUSE_MS);
		const untilMs = Math.max(askedUntilMs, this.#endsMs.get(server) ?? askedUntilMs);
		this.#endsMs.set(server, untilMs);
		return untilMs;
	}

	/** Monotonic time at which the server's pause ends, in milliseconds; undefined when none is under way. */
	endMs({server, nowMs}: {readonly server: ServerStart; readonly nowMs: number}): number | undefined {
		const untilMs = this.#endsMs.get(server);
		return untilMs !== undefined && nowMs < untilMs ? untilMs : undefined;
	}
}
