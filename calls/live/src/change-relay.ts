/**
 * Passes the store's changes on to instances that ask for them.
 *
 * A question waits until there is word from the store that the asker does not have: a change, or the store's word that
 * nothing changed, which is what tells the asker that its view is fresh.
 */
import type {StoreChange} from '@pomelopick/platform.store';
import {ChangeHistory} from './change-history.js';
import type {UpstreamAnswer} from './relayed-changes.js';

/** Time for which an instance that was asked counts as followed, in milliseconds: longer than any question waits. */
const FOLLOWER_TIMEOUT_MS = 3000;
/** Time after the store's return for which it is told, in milliseconds. */
const REPORT_RETURN_MS = 2000;

/** Options of {@link ChangeRelay}. */
export interface ChangeRelayOptions {
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link ChangeRelay.confirm}. */
export interface ConfirmOptions {
	/** Changes since the index before, without mere heartbeats of servers. */
	readonly changes: readonly StoreChange[];
	readonly index: number;
	/** Monotonic times, in milliseconds: of the store's word, and at which the store last answered again after a failure. */
	readonly confirmedAtMs: number;
	readonly returnedAtMs: number;
}

interface PendingRequest {
	readonly afterIndex: number;
	readonly resolve: (answer: UpstreamAnswer) => void;
}

/** The relay of one instance. */
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

	/** Whether other instances rely on this one. */
	get hasFollowers(): boolean {
		return this.#now() - this.#lastRequestAtMs < FOLLOWER_TIMEOUT_MS;
	}

	/** Questions that wait. */
	get pendingRequests(): number {
		return this.#pending.size;
	}

	/** Starts anew after an index, when everything was read: earlier changes are not known. */
	restart({index}: {readonly index: number}): void {
		this.#history = new ChangeHistory({index});
	}

	/** Takes the store's word and passes it on. */
	confirm({changes, index, confirmedAtMs, returnedAtMs}: ConfirmOptions): void {
		this.#history?.append({changes, index});
		this.#confirmedAtMs = confirmedAtMs;
		this.#returnedAtMs = returnedAtMs;
		const answers = new Map<number, UpstreamAnswer>();
		for (const question of this.#takePending()) {
			const answer = answers.get(question.afterIndex) ?? this.#createAnswer(question.afterIndex);
			answers.set(question.afterIndex, answer);
			question.resolve(answer);
		}
	}

	/** Tells those who wait that there is no word from the store. */
	fail(): void {
		for (const {resolve: answer} of this.#takePending()) {
			answer({kind: 'unavailable'});
		}
	}

	/** Answers nobody any more. */
	close(): void {
		this.#isClosed = true;
		this.fail();
	}

	/** Answers as soon as there is word that an instance which knows all up to an index does not have; never rejects. */
	async waitForChanges({afterIndex, signal}: {readonly afterIndex: number; readonly signal: AbortSignal}): Promise<UpstreamAnswer> {
		if (this.#isClosed || !this.#history) {
			return {kind: 'unavailable'};
		}

		this.#lastRequestAtMs = this.#now();
		const isConfirmed = Number.isFinite(this.#confirmedAtMs);
		if (isConfirmed && this.#history.index > afterIndex) {
			return this.#createAnswer(afterIndex);
		}

		return new Promise(resolve => {
			const onAbort = (): void => {
				this.#pending.delete(question);
				resolve({kind: 'unavailable'});
			};

			const question: PendingRequest = {
				afterIndex, resolve(answer) {
					signal.removeEventListener('abort', onAbort);
					resolve(answer);
				},
			};
			this.#pending.add(question);
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
			kind: 'changes', changes, index: this.#history!.index, ageMs: Math.max(0, nowMs - this.#confirmedAtMs), returnedMs: returnedMs < REPORT_RETURN_MS ? returnedMs : undefined,
		};
	}

	#takePending(): readonly PendingRequest[] {
		const questions = [...this.#pending];
		this.#pending.clear();
		return questions;
	}
}
