/** Follows the root in the key-value service and offers each new version to the holder. */
import {setTimeout as sleep} from 'node:timers/promises';
import {readSet, ROOT_KEY} from '@pomelopick/config.publishing';
import type {ConfigurationRoot} from '@pomelopick/config.publishing';
import type {KeyValueStore} from '@pomelopick/platform.store';
import type {ConfigurationHolder} from './configuration-holder.js';

const WATCH_WAIT_MS = 10_000;
const RETRY_PAUSE_MS = 500;

/** Options of {@link StoreWatcher}. */
export interface StoreWatcherOptions {
	readonly store: KeyValueStore;
	readonly holder: ConfigurationHolder;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Told of every failure. */
	readonly onFailure: (message: string) => void;
}

/** Watches the root until it is stopped. */
export class StoreWatcher {
	readonly #options: StoreWatcherOptions;
	readonly #stop = new AbortController();
	#running: Promise<void> | undefined;

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
			const next = await this.#step(index);
			if (next === undefined) {
				await this.#pause();
			} else {
				index = next;
			}
		}
	}

	async #step(index: number): Promise<number | undefined> {
		const {store, holder, now, onFailure} = this.#options;
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

		const root = JSON.parse(new TextDecoder().decode(stored.value)) as ConfigurationRoot;
		if (root.version === holder.view?.configuration.root.version) {
			holder.confirm({version: root.version, nowMs: now()});
			return found.index;
		}

		const read = await readSet({store, root}).run();
		return read.caseOf<number | undefined>({
			Left(error) {
				onFailure(error.message);
				return undefined;
			},
			Right(configuration) {
				holder.offer({configuration, nowMs: now()});
				return found.index;
			},
		});
	}

	async #pause(): Promise<void> {
		try {
			await sleep(RETRY_PAUSE_MS, undefined, {signal: this.#stop.signal});
		} catch {
			// Stopped while pausing.
		}
	}
}
