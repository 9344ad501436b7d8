/**
 * Keeps the view up to date with the store: reads a prefix whole, then follows its changes, from the store itself or
 * through an upstream.
 *
 * Worst-case delay of a change while upstreams are killed, frozen or cut off from the store: an upstream is abandoned
 * when its last confirmation is MAX_UPSTREAM_AGE_MS old, and the store itself is then queried at once.
 *
 * After the store has returned from an older copy, the prefix is read again from the store itself: changes since the copy
 * are not in the history, and an upstream may not know of the return yet.
 */
import {splitIndex} from '@pomelopick/platform.store';
import type {
	KeyValueStore, StoreError, StoreRevision, WatchResult,
} from '@pomelopick/platform.store';
import {CURRENT_VIEW_MS, retainedUntilMs} from '@pomelopick/steering.servers';
import type {ViewConfirmation} from '@pomelopick/steering.servers';
import type {ChangeRelay, ConfirmOptions} from './change-relay.js';
import type {LiveView} from './live-view.js';
import type {Upstream, UpstreamLink} from './upstream-link.js';

/** Maximum time between two confirmations by the store, in milliseconds; the followers of this instance are informed as often that nothing changed. */
const CONFIRMATION_INTERVAL_MS = 1000;
/** Minimum wait of a watch, in milliseconds. */
const MIN_WATCH_WAIT_MS = 100;
/** Wait of the watch that brings the first snapshot up to date, in milliseconds. */
const CATCH_UP_WAIT_MS = 1;
/** Maximum age of an upstream's last confirmation before the upstream is abandoned, in milliseconds; below the time after which a leaving server must get no more requests. */
const MAX_UPSTREAM_AGE_MS = 1500;
/** Minimum timeout of a request to an upstream, in milliseconds. */
const MIN_UPSTREAM_WAIT_MS = 300;
/** Pause after changes, in milliseconds, so that a series of changes costs one call to the store. */
const BATCH_PAUSE_MS = 500;
/** Pause after the first snapshot is up to date while no other instance is known, in milliseconds; when all instances start at once, their records then arrive in one batch. */
const FIRST_START_PAUSE_MS = 800;
/** Pause after the first failure, in milliseconds; doubled with each further failure, up to the maximum. */
const FIRST_RETRY_PAUSE_MS = 100;
const MAX_RETRY_PAUSE_MS = 500;
const MAX_DOUBLINGS = 5;
const HALF = 0.5;

/** Why a snapshot was read: it was the first one, or the changes since the last one are not available. */
export type SnapshotReason = 'first' | 'history-lost' | 'store-returned';

/** A snapshot that was read. */
export interface ReadSnapshot {
	/** Number of its values. */
	readonly values: number;
	/** Era of the store in which it was read. */
	readonly era: number;
	readonly reason: SnapshotReason;
}

/** Options of {@link StoreFeed}. */
export interface StoreFeedOptions {
	readonly store: KeyValueStore;
	readonly view: LiveView;
	readonly prefix: string;
	/** Forwards the changes that this instance receives to other instances. */
	readonly relay: ChangeRelay;
	/** The instances from which this one may get changes. */
	readonly upstreams: UpstreamLink;
	/** Called when the store becomes unavailable, and when the store or an upstream answers again. */
	readonly onAvailability: (options: {readonly isAvailable: boolean; readonly detail: string}) => void;
	/** Called after each snapshot. */
	readonly onSnapshot: (snapshot: ReadSnapshot) => void;
	readonly sleep: (milliseconds: number) => Promise<void>;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
}

/** Follows one prefix until it is stopped. */
export class StoreFeed {
	readonly #options: StoreFeedOptions;
	readonly #stopped = new AbortController();
	#index: number | undefined;
	#hasRead = false;
	#hasCaughtUp = false;
	/** Whether the store itself must be queried next: an upstream failed, and the changes that it did not forward may be delayed already. */
	#mustQueryStore = false;
	/** Monotonic time at which the store last confirmed that no changes are missing, in milliseconds. */
	#confirmedAtMs = Number.NEGATIVE_INFINITY;
	/** Monotonic time since which no two confirmations were {@link CURRENT_VIEW_MS} or more apart, in milliseconds. */
	#currentSinceMs = Number.NEGATIVE_INFINITY;
	/** Monotonic time at which the store last became available again after a failure, in milliseconds. */
	#returnedAtMs = Number.NEGATIVE_INFINITY;
	#failures = 0;
	/** Era of the last snapshot. */
	#readEra = 0;
	/** Era that began with the last return of the store from an older copy; 0: it has not returned in the lifetime of this process. */
	#returnedEra = 0;

	constructor(options: StoreFeedOptions) {
		this.#options = options;
	}

	/** Whether a snapshot of the prefix was read at least once; it may be seconds old. */
	get hasRead(): boolean {
		return this.#hasRead;
	}

	/** Whether a snapshot was brought up to date at least once. */
	get hasCaughtUp(): boolean {
		return this.#hasCaughtUp;
	}

	/** Time since the store last confirmed, directly or through an upstream, that no changes are missing, in milliseconds. */
	get ageMs(): number {
		return this.#options.now() - this.#confirmedAtMs;
	}

	/** How well the store confirms the view. */
	get confirmation(): ViewConfirmation {
		return {ageMs: this.ageMs, currentSinceMs: this.#currentSinceMs};
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

	/** Makes the feed read the prefix again, since the store has returned from an older copy. */
	recordReturn({era}: Pick<StoreRevision, 'era'>): void {
		this.#returnedEra = era;
	}

	/** Stops following. */
	stop(): void {
		this.#stopped.abort();
		this.#options.relay.close();
	}

	async #step(): Promise<void> {
		const {relay, upstreams} = this.#options;
		if (this.#index === undefined || this.#readEra < this.#returnedEra) {
			await this.#readSnapshot();
			return;
		}

		// An instance with followers follows the store itself unless the store fails, so that changes do not pass through two instances for long.
		const mayFollow = !relay.hasFollowers || this.isFailing;
		const upstream = mayFollow && !this.#mustQueryStore ? upstreams.choose() : undefined;
		await (upstream ? this.#followUpstream({upstream, index: this.#index}) : this.#followStore(this.#index));
	}

	async #readSnapshot(): Promise<void> {
		const {store, prefix} = this.#options;
		// The first snapshot may be old, since the changes after it bring it up to date. A later one must be current: it is read because the store's history did not reach back far enough.
		const read = await store.snapshot(prefix, {allowStale: !this.#hasRead}).run();
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
			// A new snapshot also shows which keys were removed during the gap.
			this.#index = undefined;
			return;
		}

		// A wait without a change ended when it was due, even if this process was paused and read the answer later.
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
			upstream, afterIndex: index, mustStateEra: this.#returnedEra > 0, timeoutMs, signal: this.#stopped.signal,
		});
		if (answer.kind !== 'changes' || answer.ageMs > MAX_UPSTREAM_AGE_MS) {
			this.#mustQueryStore = true;
			return;
		}

		const nowMs = now();
		this.#recordAvailable(`upstream ${upstream.id} answered`);
		this.#returnedAtMs = Math.max(this.#returnedAtMs, answer.returnedMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - answer.returnedMs);
		// The confirmation of an upstream that lags behind this instance does not cover the changes that this instance has beyond it.
		const confirmedAtMs = answer.index < index ? Number.NEGATIVE_INFINITY : nowMs - answer.ageMs;
		this.#apply({changes: answer.changes, index: answer.index, confirmedAtMs});
	}

	#applySnapshot({values, index}: WatchResult): void {
		const {view, prefix, relay, onSnapshot, now} = this.#options;
		this.#recordAvailable('a snapshot was read');
		const {era} = splitIndex(index);
		const hasReturned = this.#hasRead && era > this.#readEra;
		if (hasReturned) {
			this.#returnedAtMs = now();
		}

		view.replace({
			prefix, values, retainedUntilMs: this.#findRetainedUntil(), hasReturned, nowMs: now(),
		});
		this.#index = index;
		this.#readEra = era;
		relay.restart({index});
		onSnapshot({values: values.length, era, reason: hasReturned ? 'store-returned' : (this.#hasRead ? 'history-lost' : 'first')});
		this.#hasRead = true;
	}

	#apply({changes, index, confirmedAtMs}: Omit<ConfirmOptions, 'returnedAtMs'>): void {
		const {view, relay, now} = this.#options;
		const effective = view.apply({changes, retainedUntilMs: this.#findRetainedUntil(), nowMs: now()});
		this.#index = Math.max(this.#index ?? 0, index);
		if (this.#hasCaughtUp && confirmedAtMs - this.#confirmedAtMs >= CURRENT_VIEW_MS) {
			this.#currentSinceMs = confirmedAtMs;
		}

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

	/** Returns until when entries that are missing now may be written again, and schedules their removal. */
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
		// A timer may fire slightly early, since Node.js rounds times down to whole milliseconds.
		while (now() < untilMs) {
			await sleep(untilMs - now() + 1);
		}

		view.expire(now());
	}
}
