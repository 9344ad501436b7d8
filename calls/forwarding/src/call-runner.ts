/** Makes the attempts of one call: the first one, retries and hedges. Aborts attempts that are no longer needed. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {HedgeReason, Refusal, RetryReason} from '@pomelopick/core.types';
import type {Counters} from '@pomelopick/core.telemetry';
import type {Quarantine} from '@pomelopick/calls.quarantine';
import {Attempt} from './attempt.js';
import type {
	CompletedAttempt, AttemptOptions, AttemptDependencies,
} from './attempt.js';
import type {CallState} from './call-state.js';
import type {FailedAttempt} from './failed-attempt.js';
import type {ServicePolicy} from './service-policies.js';

/** Maximum attempts of one call, including those that could not connect and so added no load to a backend server. */
const MAX_STARTED_ATTEMPTS = 10;
/** Time between two checks of the connections to a server whose response is overdue, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 300;
/** Maximum delay of a hedge, as a share of the time left for the call. */
const MAX_HEDGE_DELAY_SHARE = 1 / 3;

/** Options of {@link CallRunner}. */
export interface CallRunnerOptions {
	readonly call: CallState;
	readonly dependencies: AttemptDependencies;
	readonly policy: ServicePolicy;
	readonly quarantine: Quarantine;
	readonly counters: Counters;
	/** Maximum bytes of a response body that are buffered; a larger response is forwarded while it arrives. */
	readonly maxBufferedBytes: number;
}

type AttemptResult = Either<FailedAttempt, CompletedAttempt>;

/** Makes attempts of one call until one gets a response or no further attempt is allowed. */
export class CallRunner {
	readonly #options: CallRunnerOptions;
	readonly #liveAttempts = new Set<Attempt>();

	constructor(options: CallRunnerOptions) {
		this.#options = options;
	}

	/** Aborts all attempts: the caller disconnected or the deadline passed. */
	end(by: 'caller' | 'deadline'): void {
		this.#options.call.end(by);
		this.#abortAll(by === 'caller' ? {kind: 'cancelled', detail: 'the caller disconnected'} : {kind: 'timed-out', detail: 'no complete response by the deadline'});
	}

	/** Runs the call. Left: its final refusal, whose `execution` takes all attempts into account. */
	async run(): Promise<Either<Refusal, CompletedAttempt>> {
		const {call} = this.#options;
		let previousRefusal: Refusal | undefined;
		let retryReason: RetryReason | undefined;
		for (;;) {
			const result = await this.#attemptWithHedge({needsNewConnection: retryReason === 'silent-connection'});
			if (result.isRight()) {
				return Right(result.unsafeCoerce());
			}

			const failed = result.extract() as FailedAttempt;
			retryReason = this.#decideRetry(failed);
			if (!retryReason) {
				// If the retry found no server, report why the attempt before it failed, which is more informative for the caller.
				return Left(this.#finalRefusal(failed.isPlaced ? failed.refusal : previousRefusal ?? failed.refusal));
			}

			previousRefusal = failed.refusal;

			this.#options.counters.retried(retryReason);
			call.extraAttempts.push(retryReason);
		}
	}

	#finalRefusal(refusal: Refusal): Refusal {
		const {call} = this.#options;
		const execution = call.hasRun ? 'ran' : (call.mayHaveRun ? 'unknown' : refusal.execution);
		if (this.#isQuarantined()) {
			return {reason: 'request-quarantined', execution, detail: `the request is quarantined because it is considered to crash backend servers (${refusal.detail})`};
		}

		const bodyRefusal = call.options.body.streamRefusal();
		if (bodyRefusal) {
			return {...bodyRefusal, execution};
		}

		if (call.endedBy === 'deadline') {
			return {reason: 'deadline-exceeded', execution, detail: refusal.detail};
		}

		return {...refusal, execution};
	}

	#decideRetry({refusal, retryReason, usesRetryBudget}: FailedAttempt): RetryReason | undefined {
		const {call, policy, dependencies, counters} = this.#options;
		const isSafeToRetry = call.isRead || refusal.execution === 'not-run';
		const mayRetry = isSafeToRetry && call.options.body.isComplete && !this.#isQuarantined();
		if (!retryReason || !mayRetry || call.endedBy !== undefined) {
			return undefined;
		}

		if (!dependencies.hasOtherServer({service: call.options.service.name, servers: call.avoidServers})) {
			counters.add('retry.no-other-server');
			return undefined;
		}

		if (call.sentAttempts >= call.options.maxSentAttempts || call.attempts >= MAX_STARTED_ATTEMPTS) {
			counters.add('retry.attempts-used-up');
			return undefined;
		}

		if (usesRetryBudget && !policy.budget.tryTake({nowMs: dependencies.now()})) {
			counters.add('retry.budget-used-up');
			return undefined;
		}

		return retryReason;
	}

	async #attemptWithHedge({needsNewConnection}: {readonly needsNewConnection: boolean}): Promise<AttemptResult> {
		const first = this.#startAttempt({needsNewConnection, isHedge: false});
		const {call, dependencies, policy} = this.#options;
		const mayHedge = call.isRead && call.options.body.isComplete && call.sentAttempts + 1 < call.options.maxSentAttempts;
		if (!mayHedge) {
			return first.result;
		}

		const timeLeftMs = call.options.deadlineMs - dependencies.now();
		const maxDelayMs = timeLeftMs * MAX_HEDGE_DELAY_SHARE;
		const delayMs = Math.min(policy.latency.hedgeDelayMs, maxDelayMs);
		return new Promise(resolve => {
			let running = 1;
			let isSettled = false;
			let outcome: AttemptResult | undefined;
			const settle = (result: AttemptResult): void => {
				running -= 1;
				// A hedge that got no slot does not explain why the call failed, so the other attempt's result is reported.
				outcome = outcome && !isPlaced(result) ? outcome : result;
				if (isSettled) {
					discardResult(result);
				} else if (result.isRight() || running === 0) {
					isSettled = true;
					clearTimeout(timer);
					resolve(outcome);
					this.#abortAll({kind: 'cancelled', detail: 'another attempt got a response first'}, result.isRight() ? result.unsafeCoerce().attempt : undefined);
				}
			};

			let isDelayFinal = policy.latency.hasEnoughSamples || delayMs === maxDelayMs;
			const maybeHedge = (): void => {
				if (first.attempt.sentAtMs !== undefined && !isDelayFinal) {
					// With too few latency samples a late response does not show that the server is slow, so the hedge waits for the
					// maximum delay. The connection may have stopped delivering data, though, and is checked already.
					isDelayFinal = true;
					this.#checkConnectionsUntilAnswered(first.attempt);
					timer = setTimeout(maybeHedge, maxDelayMs - delayMs);
				} else if (first.attempt.sentAtMs === undefined) {
					// The attempt still waits for a slot, so the delay says nothing about the backend server: start it again.
					timer = setTimeout(maybeHedge, delayMs);
				} else if (this.#decideHedge(first.attempt)) {
					running += 1;
					void settleWith({result: this.#hedge(), settle});
				}
			};

			let timer = setTimeout(maybeHedge, delayMs);
			void settleWith({result: first.result, settle});
		});
	}

	async #hedge(): Promise<AttemptResult> {
		const result = await this.#startAttempt({needsNewConnection: true, isHedge: true}).result;
		if (!isPlaced(result)) {
			this.#options.policy.budget.returnToken();
			this.#options.counters.add('hedge.no-slot');
		}

		return result;
	}

	#decideHedge(first: Attempt): HedgeReason | undefined {
		const {call, policy, dependencies, counters} = this.#options;
		const server = first.placement?.server;
		if (!server || !first.isUnanswered || call.endedBy !== undefined) {
			return undefined;
		}

		this.#checkConnectionsUntilAnswered(first);
		const isSuspect = this.#isSuspect();
		if (isSuspect || !policy.budget.tryTake({nowMs: dependencies.now()})) {
			counters.add(isSuspect ? 'hedge.suspect' : 'hedge.budget-used-up');
			return undefined;
		}

		counters.hedged('slow-answer');
		call.extraAttempts.push('slow-answer');
		return 'slow-answer';
	}

	/** Checks for silent connections until the attempt gets a response. If its connection is silent, the attempt is aborted, which releases its slot. */
	#checkConnectionsUntilAnswered(attempt: Attempt): void {
		const server = attempt.placement?.server;
		if (server && attempt.isUnanswered && this.#options.call.endedBy === undefined) {
			void this.#options.dependencies.connections.checkConnections(server);
			setTimeout(() => {
				this.#checkConnectionsUntilAnswered(attempt);
			}, CONNECTION_CHECK_INTERVAL_MS).unref();
		}
	}

	#startAttempt({needsNewConnection, isHedge}: Pick<AttemptOptions, 'needsNewConnection' | 'isHedge'>): {readonly attempt: Attempt; readonly result: Promise<AttemptResult>} {
		const {call, dependencies, maxBufferedBytes} = this.#options;
		call.attempts += 1;
		call.isSuspect = this.#isSuspect();
		const attempt = new Attempt({
			call, dependencies, maxBufferedBytes, needsNewConnection, isHedge,
		});
		this.#liveAttempts.add(attempt);
		return {attempt, result: this.#runAttempt(attempt)};
	}

	async #runAttempt(attempt: Attempt): Promise<AttemptResult> {
		const result = await attempt.run();
		if (result.isLeft()) {
			this.#liveAttempts.delete(attempt);
		}

		return result;
	}

	#abortAll(failure: Parameters<Attempt['abort']>[0], except?: Attempt): void {
		for (const attempt of this.#liveAttempts) {
			if (attempt !== except) {
				attempt.abort(failure);
			}
		}
	}

	#isSuspect(): boolean {
		const {quarantine, call} = this.#options;
		return !quarantine.isEmpty && quarantine.statusOf(call.fingerprint()) !== 'clear';
	}

	/** The status `convicted` means that the request is quarantined. */
	#isQuarantined(): boolean {
		const {quarantine, call} = this.#options;
		return !quarantine.isEmpty && quarantine.statusOf(call.fingerprint()) === 'convicted';
	}
}

/** Drops the result of an attempt that got its response after another one; the response is not used. */
function discardResult(result: AttemptResult): void {
	result.ifRight(({attempt}) => {
		attempt.abort({kind: 'cancelled', detail: 'another attempt got a response first'});
		attempt.release('cancelled');
	});
}

function isPlaced(result: AttemptResult): boolean {
	return result.isRight() || (result.extract() as FailedAttempt).isPlaced;
}

async function settleWith({result, settle}: {readonly result: Promise<AttemptResult>; readonly settle: (result: AttemptResult) => void}): Promise<void> {
	settle(await result);
}
