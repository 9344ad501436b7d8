/** When each drain saw its last new call and its last call in progress here, by this instance's own clock. */
import type {BackendServerName, ConfigurationSet, Drain} from '@pomelopick/core.types';
import {listDrainedServers} from '@pomelopick/steering.choice';

/** Times of one drain, in milliseconds from when this instance took it into force. */
export interface DrainTiming {
	/** Time since then. */
	readonly ageMs: number;
	/** When the last new call was placed on one of its servers; undefined when none was. */
	readonly lastNewCallMs?: number;
	/** When the last call at its servers ended; undefined when none did. */
	readonly lastCallEndedMs?: number;
}

/** Options of {@link DrainTimes}. */
export interface DrainTimesOptions {
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Calls in progress by backend server. */
	readonly inProgress: () => ReadonlyMap<BackendServerName, number>;
	/** Told each time that the servers of a drain have no call of this instance left. */
	readonly onEmpty: (options: {readonly drain: string; readonly timing: DrainTiming}) => void;
}

interface DrainState {
	readonly target: string;
	readonly servers: ReadonlySet<BackendServerName>;
	readonly startedAtMs: number;
	lastNewCallMs: number | undefined;
	lastCallEndedMs: number | undefined;
}

/** Follows the drains of the configuration in force. */
export class DrainTimes {
	readonly #options: DrainTimesOptions;
	readonly #states = new Map<string, DrainState>();

	constructor(options: DrainTimesOptions) {
		this.#options = options;
	}

	/** Takes a newer configuration into use; a drain that it keeps goes on. */
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

	/** Notes a call that was placed on a server. */
	notePlaced(server: BackendServerName): void {
		for (const {state} of this.#drainsOf(server)) {
			state.lastNewCallMs = this.#options.now() - state.startedAtMs;
		}
	}

	/** Notes a call at a server that ended. */
	noteEnded(server: BackendServerName): void {
		for (const {name, state} of this.#drainsOf(server)) {
			state.lastCallEndedMs = this.#options.now() - state.startedAtMs;
			this.#tellIfEmpty({name, state});
		}
	}

	/** Times of a drain; undefined when it is not in force here. */
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
		this.#tellIfEmpty({name: drain.name, state});
	}

	#tellIfEmpty({name, state}: {readonly name: string; readonly state: DrainState}): void {
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
