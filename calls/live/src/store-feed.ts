/**
 * Keeps the view up with the store: reads a prefix whole, then follows its changes, directly or through an upstream.
 *
 * Worst case for a change while upstreams are killed, frozen or cut off from the store: the upstream's last word was
 * UPSTREAM_SILENCE_MS ago when it is given up, and the store is then asked at once.
 */
import type {KeyValueStore, StoreError, WatchResult} from '@pomelopick/platform.store';
import {retainedUntilMs} from '@pomelopick/steering.servers';
import type {ChangeRelay, ConfirmOptions} from './change-relay.js';
import type {LiveView} from './live-view.js';
import type {Upstream, UpstreamLink} from './upstream-link.js';

/** Longest time between two words of the store, in milliseconds, which is how often those who follow this instance hear that nothing changed. */
const CONFIRMATION_INTERVAL_MS = 1000;
/** Shortest wait of a watch, in milliseconds. */
const MIN_WATCH_WAIT_MS = 100;
/** Wait of the watch that brings a first reading up to date, in milliseconds. */
const CATCH_UP_WAIT_MS = 1;
/** Age of an upstream's word at which it is given up, in milliseconds: below the time in which a leaving server must get nothing more. */
const MAX_UPSTREAM_AGE_MS = 1500;
/** Shortest time for which an upstream is waited for, in milliseconds. */
const MIN_UPSTREAM_WAIT_MS = 300;
/** Pause after changes, in milliseconds, so that a series of them costs one call. */
const BATCH_PAUSE_MS = 500;
/** Pause once the first reading is up to date and no other instance is known, in milliseconds: where all start at once, their records come together. */
const FIRST_START_PAUSE_MS = 800;
/** Pauses after failures, in milliseconds, doubled up to the longest. */
const FIRST_RETRY_PAUSE_MS = 100;
const MAX_RETRY_PAUSE_MS = 500;
const MAX_DOUBLINGS = 5;
const HALF = 0.5;

/** Options of {@link StoreFeed}. */
export interface StoreFeedOptions {
	readonly store: KeyValueStore;
	readonly view: LiveView;
	readonly prefix: string;
	/** Passes on to other instances what this one learns. */
	readonly relay: ChangeRelay;
	/** The instances from which this one may learn. */
	readonly upstreams: UpstreamLink;
	/** Called when word of the store, having failed to come, comes again, and when it fails to. */
	readonly onAvailability: (options: {readonly isAvailable: boolean; readonly detail: string}) => void;
	/** Called after each whole reading. */
	readonly onRead: (options: {readonly values: number; readonly isReread: boolean}) => void;
	readonly sleep: (milliseconds: number) => Promise<void>;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** Follows one prefix until it is stopped. */
export class StoreFeed {
	readonly #options: StoreFeedOptions;
	readonly #stopped = new AbortController();
	#index: number | undefined;
	#hasRead = false;
	#hasCaughtUp = false;
	/** Whether the store itself is asked next: an upstream failed, and what it had not told may be late. */
	#mustQueryStore = false;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;
	#returnedAtMs = Number.NEGATIVE_INFINITY;
	#failures = 0;

	constructor(options: StoreFeedOptions) {
		this.#options = options;
	}

	/** Whether the prefix was read whole at least once; the reading may be seconds old. */
	get hasRead(): boolean {
		return this.#hasRead;
	}

	/** Whether a whole reading was brought up to date at least once. */
	get hasCaughtUp(): boolean {
		return this.#hasCaughtUp;
	}

	/** Time since the store's last word, in milliseconds. */
	get ageMs(): number {
		return this.#options.now() - this.#confirmedAtMs;
	}

	/** Whether the last call to the store failed. */
	get isFailing(): boolean {
		return this.#failures > 0;
	}

	/** Follows the prefix; resolves when stopped. */
	async run(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			await this.#step();
		}
	}

	/** Stops following. */
	stop(): void {
		this.#stopped.abort();
		this.#options.relay.close();
	}

	async #step(): Promise<void> {
		const {relay, upstreams} = this.#options;
		if (this.#index === undefined) {
			await this.#readSnapshot();
			return;
		}

		// Whoever is followed follows the store itself, so that word never comes through two instances for long, unless the store does not answer it.
		const mayFollow = !relay.hasFollowers || this.isFailing;
		const upstream = mayFollow && !this.#mustQueryStore ? upstreams.choose() : undefined;
		await (upstream ? this.#followUpstream({upstream, index: this.#index}) : this.#followStore(this.#index));
	}

	async #readSnapshot(): Promise<void> {
		const {store, prefix} = this.#options;
		// A first reading is brought up to date by the changes since; one that the store's history does not reach is not.
		const read = await store.snapshot(prefix, {mayBeOld: !this.#hasRead}).run();
		if (read.isLeft()) {
			await this.#recordFailure(read.extract());
			return;
		}

		this.#applySnapshot(read.unsafeCoerce());
	}

	async #followStore(index: number): Promise<void> {
		const {store, prefix, upstreams, now, sleep} = this.#options;
		const isCatchingUp = !this.#hasCaughtUp;
		const waitMs = isCatchingUp ? CATCH_UP_WAIT_MS : Math.max(MIN_WATCH_WAIT_MS, CONFIRMATION_INTERVAL_MS - this.ageMs);
		const sentAtMs = now();
		const watched = await store.changes({
			prefix, afterIndex: index, waitMs, signal: this.#stopped.signal,
		}).run();
		this.#mustQueryStore = false;
		if (watched.isLeft()) {
			await this.#recordFailure(watched.extract());
			return;
		}

		const answer = watched.unsafeCoerce();
		this.#recordAvailable('the store answered');
		if (answer.kind === 'history-lost') {
			// The prefix is read anew, which also tells what was removed in the gap.
			this.#index = undefined;
			return;
		}

		// A wait without a change ended when it was due, however late this process came to see it.
		const hasChanges = answer.changes.length > 0;
		this.#apply({...answer, confirmedAtMs: hasChanges ? now() : Math.min(now(), sentAtMs + waitMs)});
		if (isCatchingUp && !upstreams.hasOtherInstances()) {
			await sleep(FIRST_START_PAUSE_MS);
		} else if (hasChanges) {
			await sleep(BATCH_PAUSE_MS);
		}
	}

	async #followUpstream({upstream, index}: {readonly upstream: Upstream; readonly index: number}): Promise<void> {
		const {now, upstreams} = this.#options;
		const timeoutMs = this.#hasCaughtUp ? Math.max(MIN_UPSTREAM_WAIT_MS, MAX_UPSTREAM_AGE_MS - this.ageMs) : MAX_UPSTREAM_AGE_MS;
		const answer = await upstreams.requestChanges({
			upstream, afterIndex: index, timeoutMs, signal: this.#stopped.signal,
		});
		if (answer.kind !== 'changes' || answer.ageMs > MAX_UPSTREAM_AGE_MS) {
			this.#mustQueryStore = true;
			return;
		}

		const nowMs = now();
		this.#recordAvailable(`${upstream.id} passed its word on`);
		this.#returnedAtMs = Math.max(this.#returnedAtMs, answer.returnedMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - answer.returnedMs);
		// An upstream that lags behind this instance says nothing about what this one knows beyond it.
		const confirmedAtMs = answer.index < index ? Number.NEGATIVE_INFINITY : nowMs - answer.ageMs;
		this.#apply({changes: answer.changes, index: answer.index, confirmedAtMs});
	}

	#applySnapshot({values, index}: WatchResult): void {
		const {view, prefix, relay, onRead, now} = this.#options;
		this.#recordAvailable('the store was read');
		view.replace({
			prefix, values, retainedUntilMs: this.#findRetainedUntil(), nowMs: now(),
		});
		this.#index = index;
		relay.restart({index});
		onRead({values: values.length, isReread: this.#hasRead});
		this.#hasRead = true;
	}

	#apply({changes, index, confirmedAtMs}: Omit<ConfirmOptions, 'returnedAtMs'>): void {
		const {view, relay, now} = this.#options;
		const effective = view.apply({changes, retainedUntilMs: this.#findRetainedUntil(), nowMs: now()});
		this.#index = Math.max(this.#index ?? 0, index);
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, confirmedAtMs);
		this.#hasCaughtUp = true;
		relay.confirm({
			changes: effective, index, confirmedAtMs: this.#confirmedAtMs, returnedAtMs: this.#returnedAtMs,
		});
	}

	#recordAvailable(detail: string): void {
		if (this.#failures > 0) {
			this.#returnedAtMs = this.#options.now();
			this.#options.onAvailability({isAvailable: true, detail: `${detail} after ${this.#failures} failures`});
		}

		this.#failures = 0;
	}

	async #recordFailure({code, message}: StoreError): Promise<void> {
		if (this.#stopped.signal.aborted) {
			return;
		}

		this.#failures += 1;
		this.#options.relay.fail();
		if (this.#failures === 1) {
			this.#options.onAvailability({isAvailable: false, detail: `${code}: ${message}`});
		}

		const pauseMs = Math.min(MAX_RETRY_PAUSE_MS, FIRST_RETRY_PAUSE_MS * (2 ** Math.min(this.#failures - 1, MAX_DOUBLINGS)));
		await this.#options.sleep(pauseMs * (HALF + (HALF * this.#options.random())));
	}

	/** Until when entries that are found missing now may come back. */
	#findRetainedUntil(): number | undefined {
		const {now} = this.#options;
		const untilMs = retainedUntilMs({returnedAtMs: this.#returnedAtMs, nowMs: now()});
		if (untilMs !== undefined) {
			void this.#expireAt(untilMs);
		}

		return untilMs;
	}

	async #expireAt(untilMs: number): Promise<void> {
		const {view, now, sleep} = this.#options;
		// A timer may fire a little early.
		while (now() < untilMs) {
			await sleep(untilMs - now() + 1);
		}

		view.expire(now());
	}
}
