/** Watches the configuration root in the key-value service while this instance is one of its watchers. */
import {setTimeout as sleep} from 'node:timers/promises';
import {parseRoot, ROOT_KEY} from '@pomelopick/config.publishing';
import type {KeyValueStore} from '@pomelopick/platform.store';
import type {ConfigurationHolder} from './configuration-holder.js';
import type {VersionLoader} from './version-loader.js';

const WATCH_WAIT_MS = 10_000;
const RETRY_PAUSE_MS = 500;
const ROLE_POLL_MS = 500;
/** Age of the view from which an instance that is no watcher reads the root itself, in milliseconds. */
const STALE_VIEW_MS = 20_000;
/** Time between reads of an instance that has no version yet, in milliseconds. */
const NO_VIEW_INTERVAL_MS = 2000;

/** Options of {@link StoreWatcher}. */
export interface StoreWatcherOptions {
	readonly store: KeyValueStore;
	readonly holder: ConfigurationHolder;
	readonly loader: VersionLoader;
	/** Whether this instance is one of the watchers. */
	readonly isWatcher: () => boolean;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1 that spreads retries over time. */
	readonly random: () => number;
	/** Called for each failure. */
	readonly onFailure: (message: string) => void;
}

/** Watches the configuration root until it is stopped. */
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

	/** Stops watching and waits until the last call has ended. */
	async stop(): Promise<void> {
		this.#stop.abort();
		await this.#running;
	}

	async #run(): Promise<void> {
		let index = 0;
		while (!this.#stop.signal.aborted) {
			if (this.#options.isWatcher()) {
				const next = await this.#watchOnce(index);
				index = next ?? 0;
				await this.#pause(next === undefined ? RETRY_PAUSE_MS * (1 + this.#options.random()) : 0);
			} else {
				index = 0;
				await this.#readWhenStale();
				await this.#pause(ROLE_POLL_MS);
			}
		}
	}

	/** Reads the root once if the view has not been confirmed for too long. The time between such reads is limited. */
	async #readWhenStale(): Promise<void> {
		const {holder, now, random} = this.#options;
		const nowMs = now();
		const isStale = !holder.view || nowMs - holder.view.confirmedAtMs > STALE_VIEW_MS;
		if (isStale && nowMs >= this.#nextReadMs) {
			this.#nextReadMs = nowMs + ((holder.view ? STALE_VIEW_MS : NO_VIEW_INTERVAL_MS) * (0.5 + (random() / 2)));
			await this.#watchOnce(0);
		}
	}

	/** Runs one watch and loads what it found. Returns the index to continue from; undefined when the watch or the load failed. */
	async #watchOnce(index: number): Promise<number | undefined> {
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
			onFailure(`the store names version ${root.version}, expected at least the active version ${holder.version}`);
			return undefined;
		}

		holder.recordExistence(root.version);
		const isActive = await new Promise<boolean>(resolve => {
			loader.load({kind: 'root', root, done: resolve});
		});
		// The response names the version that was the newest at some time after the request was sent.
		holder.confirm({version: root.version, nowMs: sentAtMs});
		return isActive ? found.index : undefined;
	}

	async #pause(durationMs: number): Promise<void> {
		try {
			await sleep(durationMs, undefined, {signal: this.#stop.signal});
		} catch {
			// Stopped during the pause.
		}
	}
}
