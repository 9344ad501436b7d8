/** Follows the root in the key-value service while this instance is one of the few that do. */
import {setTimeout as sleep} from 'node:timers/promises';
import {parseRoot, ROOT_KEY} from '@pomelopick/config.publishing';
import type {KeyValueStore} from '@pomelopick/platform.store';
import type {ConfigurationHolder} from './configuration-holder.js';
import type {VersionLoader} from './version-loader.js';

const WATCH_WAIT_MS = 10_000;
const RETRY_PAUSE_MS = 500;
const ROLE_POLL_MS = 500;
/** Age of the view from which an instance that does not watch reads the root by itself, in milliseconds. */
const STALE_VIEW_MS = 20_000;
/** Time between reads of an instance that has no version yet, in milliseconds. */
const NO_VIEW_INTERVAL_MS = 2000;

/** Options of {@link StoreWatcher}. */
export interface StoreWatcherOptions {
	readonly store: KeyValueStore;
	readonly holder: ConfigurationHolder;
	readonly loader: VersionLoader;
	/** Whether this instance is one of those that watch. */
	readonly isWatcher: () => boolean;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1 that spreads retries over time. */
	readonly random: () => number;
	/** Told of every failure. */
	readonly onFailure: (message: string) => void;
}

/** Watches the root until it is stopped. */
export class StoreWatcher {
	readonly #options: StoreWatcherOptions;
	readonly #stop = new AbortController();
	#running: Promise<void> | undefined;
	#nextReadMs = 0;

	constructor(options: StoreWatcherOptions) {
		this.#options = options;
	}

	/** Starts watching. */
	start(): void {
		this.#running = this.#run();
	}

	/** Stops watching and waits for the last call to end. */
	async stop(): Promise<void> {
		this.#stop.abort();
		await this.#running;
	}

	async #run(): Promise<void> {
		let index = 0;
		while (!this.#stop.signal.aborted) {
			if (this.#options.isWatcher()) {
				const next = await this.#step(index);
				index = next ?? 0;
				await this.#pause(next === undefined ? RETRY_PAUSE_MS * (1 + this.#options.random()) : 0);
			} else {
				index = 0;
				await this.#readWhenStale();
				await this.#pause(ROLE_POLL_MS);
			}
		}
	}

	/** Reads once when no watcher's confirmation has arrived for long, at most once in that time. */
	async #readWhenStale(): Promise<void> {
		const {holder, now, random} = this.#options;
		const nowMs = now();
		const isStale = !holder.view || nowMs - holder.view.confirmedAtMs > STALE_VIEW_MS;
		if (isStale && nowMs >= this.#nextReadMs) {
			this.#nextReadMs = nowMs + ((holder.view ? STALE_VIEW_MS : NO_VIEW_INTERVAL_MS) * (0.5 + (random() / 2)));
			await this.#step(0);
		}
	}

	/** One watch. Answers the index to go on from; undefined when the watch or the load failed. */
	async #step(index: number): Promise<number | undefined> {
		const {store, holder, loader, now, onFailure} = this.#options;
		const sentAtMs = now();
		const watched = await store.watch({
			prefix: ROOT_KEY, afterIndex: index, waitMs: WATCH_WAIT_MS, signal: this.#stop.signal,
		}).run();
		const found = watched.toMaybe().extract();
		if (!found) {
			onFailure(watched.swap().toMaybe().extract()?.message ?? '');
			return undefined;
		}

		const [stored] = found.values;
		if (!stored) {
			return found.index;
		}

		const root = parseRoot(stored.value).ifLeft(error => {
			onFailure(error.message);
		}).toMaybe().extract();
		if (!root) {
			return undefined;
		}

		if (root.version < holder.version) {
			onFailure(`the store names version ${root.version}, below version ${holder.version} in force`);
			return undefined;
		}

		holder.hearOf(root.version);
		const isInForce = await new Promise<boolean>(resolve => {
			loader.load({kind: 'root', root, done: resolve});
		});
		// The answer names the newest version of some moment after the request was sent.
		holder.confirm({version: root.version, nowMs: sentAtMs});
		return isInForce ? found.index : undefined;
	}

	async #pause(durationMs: number): Promise<void> {
		try {
			await sleep(durationMs, undefined, {signal: this.#stop.signal});
		} catch {
			// Stopped while pausing.
		}
	}
}
