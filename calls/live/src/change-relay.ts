/**
 * Forwards the store's changes to followers: instances that request them from this one by long polling.
 *
 * A request waits until this instance has something from the store that the requesting instance lacks: a change, or the
 * confirmation that nothing changed, from which the requesting instance knows that its view is current.
 */
import {splitIndex} from '@pomelopick/platform.store';
import type {StoreChange} from '@pomelopick/platform.store';
import {ChangeHistory} from './change-history.js';
import type {UpstreamAnswer} from './relayed-changes.js';

/** Time after a request for which this instance is assumed to have followers, in milliseconds; longer than any request waits. */
const FOLLOWER_TIMEOUT_MS = 3000;
/** Time for which answers report that the store became available again, in milliseconds. */
const RECOVERY_REPORT_MS = 2000;

/** Options of {@link ChangeRelay}. */
export interface ChangeRelayOptions {
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link ChangeRelay.confirm}. */
export interface ConfirmOptions {
	/** Changes since the previous index, without heartbeats of servers that change nothing else. */
	readonly changes: readonly StoreChange[];
	/** Index of the store up to which the changes reach. */
	readonly index: number;
	/** Monotonic time at which the store confirmed that no changes are missing, in milliseconds. */
	readonly confirmedAtMs: number;
	/** Monotonic time at which the store last became available again after a failure, in milliseconds. */
	readonly returnedAtMs: number;
}

interface PendingRequest {
	readonly afterIndex: number;
	readonly resolve: (answer: UpstreamAnswer) => void;
}

/** Keeps the recent changes of this instance and answers the requests for them. */
export class ChangeRelay {
	readonly #now: () => number;
	readonly #pending = new Set<PendingRequest>();
	#history: ChangeHistory | undefined;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;
	#returnedAtMs = Number.NEGATIVE_INFINITY;
	#lastRequestAtMs = Number.NEGATIVE_INFINITY;
	#isClosed = false;

	constructor({now}: ChangeRelayOptions) {
		this.#now = now;
	}

	/** Whether other instances get their changes from this one, according to the time of the last request. */
	get hasFollowers(): boolean {
		return this.#now() - this.#lastRequestAtMs < FOLLOWER_TIMEOUT_MS;
	}

	/** Number of requests that wait for an answer. */
	get pendingRequests(): number {
		return this.#pending.size;
	}

	/** Era of the store from which the changes are; 0: none is known. */
	get era(): number {
		return splitIndex(this.#history?.index ?? 0).era;
	}

	/** Starts a new history after a snapshot of the store at an index. Earlier changes are not available, of which waiting requests are told. */
	restart({index}: {readonly index: number}): void {
		this.#history = new ChangeHistory({index});
		for (const request of [...this.#pending].filter(({afterIndex}) => afterIndex < index)) {
			this.#pending.delete(request);
			request.resolve({kind: 'history-lost'});
		}
	}

	/** Records changes, or the confirmation that there are none, and answers all waiting requests. */
	confirm({changes, index, confirmedAtMs, returnedAtMs}: ConfirmOptions): void {
		this.#history?.append({changes, index});
		this.#confirmedAtMs = confirmedAtMs;
		this.#returnedAtMs = returnedAtMs;
		const answers = new Map<number, UpstreamAnswer>();
		for (const request of this.#takePending()) {
			const answer = answers.get(request.afterIndex) ?? this.#createAnswer(request.afterIndex);
			answers.set(request.afterIndex, answer);
			request.resolve(answer);
		}
	}

	/** Answers all waiting requests with `unavailable`, since the store does not answer this instance. */
	fail(): void {
		for (const {resolve} of this.#takePending()) {
			resolve({kind: 'unavailable'});
		}
	}

	/** Answers all waiting and later requests with `unavailable`. */
	close(): void {
		this.#isClosed = true;
		this.fail();
	}

	/** Resolves once there is a change after an index, or a confirmation that there is none; never rejects. */
	async waitForChanges({afterIndex, signal}: {readonly afterIndex: number; readonly signal: AbortSignal}): Promise<UpstreamAnswer> {
		if (this.#isClosed || !this.#history || splitIndex(afterIndex).era > this.era) {
			// An instance that has read the store after its return from a copy must not wait for one that has not.
			return {kind: 'unavailable'};
		}

		this.#lastRequestAtMs = this.#now();
		// Before the first confirmation, the age of the changes is not known.
		const isConfirmed = Number.isFinite(this.#confirmedAtMs);
		if (isConfirmed && this.#history.index > afterIndex) {
			return this.#createAnswer(afterIndex);
		}

		return new Promise(resolve => {
			const onAbort = (): void => {
				this.#pending.delete(request);
				resolve({kind: 'unavailable'});
			};

			const request: PendingRequest = {
				afterIndex, resolve(answer) {
					signal.removeEventListener('abort', onAbort);
					resolve(answer);
				},
			};
			this.#pending.add(request);
			signal.addEventListener('abort', onAbort, {once: true});
		});
	}

	#createAnswer(afterIndex: number): UpstreamAnswer {
		const changes = this.#history!.after(afterIndex);
		if (!changes) {
			return {kind: 'history-lost'};
		}

		const nowMs = this.#now();
		const returnedMs = nowMs - this.#returnedAtMs;
		return {
			kind: 'changes', changes, index: this.#history!.index, ageMs: Math.max(0, nowMs - this.#confirmedAtMs), returnedMs: returnedMs < RECOVERY_REPORT_MS ? returnedMs : undefined,
		};
	}

	#takePending(): readonly PendingRequest[] {
		const requests = [...this.#pending];
		this.#pending.clear();
		return requests;
	}
}
