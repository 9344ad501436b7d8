/** The attempts of one call: retries, hedges, and the cancellation of what is no longer needed. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {HedgeReason, Refusal, RetryReason} from '@pomelopick/core.types';
import type {Counters} from '@pomelopick/core.telemetry';
import type {Quarantine} from '@pomelopick/calls.quarantine';
import {Attempt} from './attempt.js';
import type {
	Answered, AttemptOptions, AttemptParts,
} from './attempt.js';
import type {CallState} from './call-state.js';
import type {FailedAttempt} from './failed-attempt.js';
import type {ServicePolicy} from './service-policies.js';

/** Attempts of one call in all, those included that could not connect and so cost no backend server anything. */
const MOST_TRIES = 10;
/** Time between two checks of a server whose answer is overdue, in milliseconds. */
const CHECK_INTERVAL_MS = 300;
/** Part of the time left after which a read is hedged at the latest. */
const LATEST_HEDGE_SHARE = 1 / 3;

/** Options of {@link CallRun}. */
export interface CallRunOptions {
	readonly call: CallState;
	readonly parts: AttemptParts;
	readonly policy: ServicePolicy;
	readonly quarantine: Quarantine;
	readonly counters: Counters;
	/** Bytes of an answer that are held before the first of them is sent on. */
	readonly heldBytes: number;
}

type AttemptResult = Either<FailedAttempt, Answered>;

/** Makes the attempts of one call until one answers or none may follow. */
export class CallRun {
	readonly #options: CallRunOptions;
	readonly #live = new Set<Attempt>();

	constructor(options: CallRunOptions) {
		this.#options = options;
	}

	/** Ends all attempts at once: the caller left or the deadline passed. */
	end(by: 'caller' | 'deadline'): void {
		this.#options.call.end(by);
		this.#giveUpAll(by === 'caller' ? {kind: 'cancelled', detail: 'the caller left'} : {kind: 'timed-out', detail: 'no whole answer by the deadline'});
	}

	/** Runs the call. Left: its final refusal, whose execution counts every attempt. */
	async run(): Promise<Either<Refusal, Answered>> {
		const {call} = this.#options;
		let earlier: Refusal | undefined;
		let retryReason: RetryReason | undefined;
		for (;;) {
			const result = await this.#attemptWithHedge({needsNewConnection: retryReason === 'silent-connection'});
			if (result.isRight()) {
				return Right(result.unsafeCoerce());
			}

			const failed = result.extract() as FailedAttempt;
			retryReason = this.#findRetryReason(failed);
			if (!retryReason) {
				// That no other server could take a retry says less than why the attempt before it failed.
				return Left(this.#finalRefusal(failed.isPlaced ? failed.refusal : earlier ?? failed.refusal));
			}

			earlier = failed.refusal;

			this.#options.counters.retried(retryReason);
			call.extraAttempts.push(retryReason);
		}
	}

	#finalRefusal(refusal: Refusal): Refusal {
		const {call} = this.#options;
		const execution = call.hasRun ? 'ran' : (call.mayHaveRun ? 'unknown' : refusal.execution);
		if (this.#isConvicted()) {
			return {reason: 'request-quarantined', execution, detail: `the request is taken to crash backend servers (${refusal.detail})`};
		}

		const bodyFault = call.options.body.fault();
		if (bodyFault) {
			return {...bodyFault, execution};
		}

		if (call.endedBy === 'deadline') {
			return {reason: 'deadline-exceeded', execution, detail: refusal.detail};
		}

		return {...refusal, execution};
	}

	#findRetryReason({refusal, retryReason, isCharged}: FailedAttempt): RetryReason | undefined {
		const {call, policy, parts, counters} = this.#options;
		const isSafe = call.isRead || refusal.execution === 'not-run';
		const mayBeSentAgain = isSafe && call.options.body.isWhole && !this.#isConvicted();
		if (!retryReason || !mayBeSentAgain || call.endedBy !== undefined) {
			return undefined;
		}

		if (!parts.hasServerBesides({service: call.options.service.name, servers: call.avoidServers})) {
			counters.add('retry.no-other-server');
			return undefined;
		}

		if (call.sentAttempts >= call.options.mostAttempts || call.attempts >= MOST_TRIES) {
			counters.add('retry.attempts-used-up');
			return undefined;
		}

		if (isCharged && !policy.budget.tryTake({nowMs: parts.now()})) {
			counters.add('retry.budget-used-up');
			return undefined;
		}

		return retryReason;
	}

	async #attemptWithHedge({needsNewConnection}: {readonly needsNewConnection: boolean}): Promise<AttemptResult> {
		const first = this.#startAttempt({needsNewConnection, isHedge: false});
		const {call, parts, policy} = this.#options;
		const mayHedge = call.isRead && call.options.body.isWhole && call.sentAttempts + 1 < call.options.mostAttempts;
		if (!mayHedge) {
			return first.result;
		}

		const timeLeftMs = call.options.deadlineMs - parts.now();
		const latestMs = timeLeftMs * LATEST_HEDGE_SHARE;
		const delayMs = Math.min(policy.latency.hedgeDelayMs, latestMs);
		return new Promise(resolve => {
			let live = 1;
			let isSettled = false;
			let outcome: AttemptResult | undefined;
			const settle = (result: AttemptResult): void => {
				live -= 1;
				// A hedge that got no slot says nothing of why the call failed.
				outcome = outcome && !isPlaced(result) ? outcome : result;
				if (isSettled) {
					dropLoser(result);
				} else if (result.isRight() || live === 0) {
					isSettled = true;
					clearTimeout(timer);
					resolve(outcome);
					this.#giveUpAll({kind: 'cancelled', detail: 'another attempt answered first'}, result.isRight() ? result.unsafeCoerce().attempt : undefined);
				}
			};

			let isChecked = policy.latency.isKnown || delayMs === latestMs;
			const hedge = (): void => {
				if (first.attempt.sentAtMs !== undefined && !isChecked) {
					// Without a known latency a late answer is no sign of a slow server, but its connection may be silent.
					isChecked = true;
					this.#checkUntilAnswered(first.attempt);
					timer = setTimeout(hedge, latestMs - delayMs);
				} else if (first.attempt.sentAtMs === undefined) {
					// The time that a call waits for a slot says nothing of the backend server.
					timer = setTimeout(hedge, delayMs);
				} else if (this.#findHedgeReason(first.attempt)) {
					live += 1;
					void settleWith({result: this.#hedge(), settle});
				}
			};

			let timer = setTimeout(hedge, delayMs);
			void settleWith({result: first.result, settle});
		});
	}

	async #hedge(): Promise<AttemptResult> {
		const result = await this.#startAttempt({needsNewConnection: true, isHedge: true}).result;
		if (!isPlaced(result)) {
			this.#options.policy.budget.giveBack();
			this.#options.counters.add('hedge.no-slot');
		}

		return result;
	}

	#findHedgeReason(first: Attempt): HedgeReason | undefined {
		const {call, policy, parts, counters} = this.#options;
		const server = first.placement?.server;
		if (!server || !first.isUnanswered || call.endedBy !== undefined) {
			return undefined;
		}

		this.#checkUntilAnswered(first);
		const isSuspect = this.#isSuspect();
		if (isSuspect || !policy.budget.tryTake({nowMs: parts.now()})) {
			counters.add(isSuspect ? 'hedge.suspect' : 'hedge.budget-used-up');
			return undefined;
		}

		counters.hedged('slow-answer');
		call.extraAttempts.push('slow-answer');
		return 'slow-answer';
	}

	/** Looks for silent connections while an answer is overdue. Found ones end the attempt, which frees its slot. */
	#checkUntilAnswered(attempt: Attempt): void {
		const server = attempt.placement?.server;
		if (server && attempt.isUnanswered && this.#options.call.endedBy === undefined) {
			void this.#options.parts.connections.suspect(server);
			setTimeout(() => {
				this.#checkUntilAnswered(attempt);
			}, CHECK_INTERVAL_MS).unref();
		}
	}

	#startAttempt({needsNewConnection, isHedge}: Pick<AttemptOptions, 'needsNewConnection' | 'isHedge'>): {readonly attempt: Attempt; readonly result: Promise<AttemptResult>} {
		const {call, parts, heldBytes} = this.#options;
		call.attempts += 1;
		call.isSuspect = this.#isSuspect();
		const attempt = new Attempt({
			call, parts, heldBytes, needsNewConnection, isHedge,
		});
		this.#live.add(attempt);
		return {attempt, result: this.#finish(attempt)};
	}

	async #finish(attempt: Attempt): Promise<AttemptResult> {
		const result = await attempt.run();
		if (result.isLeft()) {
			this.#live.delete(attempt);
		}

		return result;
	}

	#giveUpAll(failure: Parameters<Attempt['giveUp']>[0], except?: Attempt): void {
		for (const attempt of this.#live) {
			if (attempt !== except) {
				attempt.giveUp(failure);
			}
		}
	}

	#isSuspect(): boolean {
		const {quarantine, call} = this.#options;
		return !quarantine.isEmpty && quarantine.statusOf(call.fingerprint()) !== 'clear';
	}

	#isConvicted(): boolean {
		const {quarantine, call} = this.#options;
		return !quarantine.isEmpty && quarantine.statusOf(call.fingerprint()) === 'convicted';
	}
}

/** A loser that answered all the same: its answer is not used. */
function dropLoser(result: AttemptResult): void {
	result.ifRight(({attempt}) => {
		attempt.giveUp({kind: 'cancelled', detail: 'another attempt answered first'});
		attempt.release('cancelled');
	});
}

function isPlaced(result: AttemptResult): boolean {
	return result.isRight() || (result.extract() as FailedAttempt).isPlaced;
}

async function settleWith({result, settle}: {readonly result: Promise<AttemptResult>; readonly settle: (result: AttemptResult) => void}): Promise<void> {
	settle(await result);
}
