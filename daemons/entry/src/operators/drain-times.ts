/** Records for each drain when this instance placed the last new call and when its last call ended, by this instance's clock. */
import type {BackendServerName, ConfigurationSet, Drain} from '@pomelopick/core.types';
import {listDrainedServers} from '@pomelopick/steering.choice';

/** Times of one drain, in milliseconds since it became active at this instance. */
export interface DrainTiming {
	/** Time since the drain became active. */
	readonly ageMs: number;
	/** Time at which the last new call was placed on one of its servers; undefined when there was none. */
	readonly lastNewCallMs?: number;
	/** Time at which the last call at its servers ended; undefined when there was none. */
	readonly lastCallEndedMs?: number;
}

/** Options of {@link DrainTimes}. */
export interface DrainTimesOptions {
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Calls in progress by backend server. */
	readonly inProgress: () => ReadonlyMap<BackendServerName, number>;
	/** Called each time that this instance no longer has calls in progress at the servers of a drain. */
	readonly onEmpty: (options: {readonly drain: string; readonly timing: DrainTiming}) => void;
}

interface DrainState {
	readonly target: string;
	readonly servers: ReadonlySet<BackendServerName>;
	readonly startedAtMs: number;
	lastNewCallMs: number | undefined;
	lastCallEndedMs: number | undefined;
}

/** Tracks the drains of the active configuration. */
export class DrainTimes {
	readonly #options: DrainTimesOptions;
	readonly #states = new Map<string, DrainState>();

	constructor(options: DrainTimesOptions) {
		this.#options = options;
	}

	/** Applies a newer configuration; the times of drains that it keeps are kept. */
	useSet(set: ConfigurationSet): void {
		const names = new Set<string>(set.drains.map(({name}) => name));
		for (const name of this.#states.keys()) {
			if (!names.has(name)) {
				this.#states.delete(name);
			}
		}

		for (const drain of set.drains) {
			this.#useDrain({set, drain});
		}
	}

	/** Records that a call was placed on a server. */
	recordPlaced(server: BackendServerName): void {
		for (const {state} of this.#drainsOf(server)) {
			state.lastNewCallMs = this.#options.now() - state.startedAtMs;
		}
	}

	/** Records that a call at a server ended. */
	recordEnded(server: BackendServerName): void {
		for (const {name, state} of this.#drainsOf(server)) {
			state.lastCallEndedMs = this.#options.now() - state.startedAtMs;
			this.#reportIfEmpty({name, state});
		}
	}

	/** Returns the times of a drain; undefined when it is not active at this instance. */
	timing(name: string): DrainTiming | undefined {
		const state = this.#states.get(name);
		return state && this.#timingOf(state);
	}

	#useDrain({set, drain}: {readonly set: ConfigurationSet; readonly drain: Drain}): void {
		const known = this.#states.get(drain.name);
		const target = `${drain.target.kind} ${drain.target.name}`;
		const servers = listDrainedServers({...set, drains: [drain]});
		if (known?.target === target) {
			this.#states.set(drain.name, {...known, servers});
			return;
		}

		const state: DrainState = {
			target, servers, startedAtMs: this.#options.now(), lastNewCallMs: undefined, lastCallEndedMs: undefined,
		};
		this.#states.set(drain.name, state);
		this.#reportIfEmpty({name: drain.name, state});
	}

	#reportIfEmpty({name, state}: {readonly name: string; readonly state: DrainState}): void {
		const inProgress = this.#options.inProgress();
		if ([...state.servers].every(server => !inProgress.has(server))) {
			this.#options.onEmpty({drain: name, timing: this.#timingOf(state)});
		}
	}

	#timingOf({startedAtMs, lastNewCallMs, lastCallEndedMs}: DrainState): DrainTiming {
		return {
			ageMs: Math.round(this.#options.now() - startedAtMs),
			...(lastNewCallMs !== undefined && {lastNewCallMs: Math.round(lastNewCallMs)}),
			...(lastCallEndedMs !== undefined && {lastCallEndedMs: Math.round(lastCallEndedMs)}),
		};
	}

	#drainsOf(server: BackendServerName): ReadonlyArray<{readonly name: string; readonly state: DrainState}> {
		return [...this.#states].filter(([, {servers}]) => servers.has(server)).map(([name, state]) => ({name, state}));
	}
}
