/** Makes the attempts of one request until one yields a final response or no further attempt is allowed. */
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {AttemptResponse} from '@pomelopick/calls.forwarding';
import type {BackendServerName, Refusal} from '@pomelopick/core.types';
import type {ObjectPlacement, PlacementRefusal} from '@pomelopick/steering.objects';
import {endsWithin, takeFirstDeliverable} from './attempt-race.js';
import type {RunningAttempt} from './attempt-race.js';
import {choosePeer} from './choose-peer.js';
import type {ChoosePeerParts} from './choose-peer.js';
import {waitForCrashCheck} from './crash-check-wait.js';
import {placeRequest} from './place-request.js';
import type {PlaceRequestParts} from './place-request.js';
import {
	ENDED_BEFORE_ATTEMPT, failureOfAnswer, finalResult, refusalOfFailure, refusalOfPlacement,
} from './final-result.js';
import {hedgeDelayMs, mayStartHedge} from './hedge-rule.js';
import {PeerAttempt} from './peer-attempt.js';
import type {PeerAttemptParts} from './peer-attempt.js';
import {RelayAttempt} from './relay-attempt.js';
import type {AttemptFailureResult, AttemptResult, RunnableAttempt} from './attempt-result.js';
import type {AttemptParts} from './attempt-parts.js';
import {ANSWERED} from './relayed-request.js';
import type {AttemptRecord, RelayedRequest} from './relayed-request.js';
import {RequestQuota} from './request-quota.js';
import type {RequestQuotaParts} from './request-quota.js';
import {RequestPermits} from './retry-permit.js';
import type {RetryPermit} from './retry-permit.js';

/** Maximum number of attempts of one request, including those that reached no server. */
const MAX_TRIES = 6;

/** Dependencies of a run, including those of its attempts. */
export interface RunParts extends AttemptParts, PlaceRequestParts, PeerAttemptParts, ChoosePeerParts, RequestQuotaParts {
	/** Takes a permit to send to another server, waiting a short time if necessary; undefined: the retry budget of the service is used up. */
	readonly takeRetry: (request: RelayedRequest) => Promise<RetryPermit | undefined>;
}

/** Runs one request: its attempts, retries and hedges. */
export class RelayRun {
	readonly #request: RelayedRequest;
	readonly #parts: RunParts;
	readonly #activeAttempts = new Set<RunnableAttempt>();
	readonly #permits = new RequestPermits();
	/** Permits of the quota of the organisation; undefined: the request needs none. */
	readonly #quota: RequestQuota | undefined;
	/** Failure response of a server, kept as the final response in case no other attempt succeeds. */
	#serverFailure: AttemptResponse | undefined;

	constructor({request, parts}: {readonly request: RelayedRequest; readonly parts: RunParts}) {
		this.#request = request;
		this.#parts = parts;
		this.#quota = RequestQuota.for({request, parts});
	}

	/**
	 * Ends the request because its caller disconnected: no further attempt is made.
	 *
	 * A write that may have reached a server goes on there, as its outcome may be awaited elsewhere. All other attempts are aborted.
	 */
	leave(): void {
		const request = this.#request;
		request.callerLeftAtMs = this.#parts.now();
		request.end('caller');
		for (const attempt of this.#activeAttempts) {
			if (request.isIdempotent || !attempt.mayHaveRun) {
				attempt.abort({kind: 'cancelled', detail: 'the caller disconnected'});
			}
		}
	}

	/** Ends the request at once because the deadline passed. */
	expire(): void {
		this.#request.end('deadline');
		this.#abortAll({kind: 'timed-out', detail: 'no complete response by the deadline'});
	}

	/** Ends the request at once because this instance stops. */
	stop(): void {
		this.#request.end('instance');
		this.#abortAll({kind: 'cancelled', detail: 'this instance stopped before a complete response'});
	}

	/** Runs the request. Left: its final refusal; `execution` takes all attempts into account. */
	async run(): Promise<Either<Refusal, AttemptResponse>> {
		const result = await this.#runAttempts();
		this.#permits.close();
		this.#quota?.close();
		return result;
	}

	#abortAll(failure: Parameters<RelayAttempt['abort']>[0]): void {
		for (const attempt of this.#activeAttempts) {
			attempt.abort(failure);
		}
	}

	async #runAttempts(): Promise<Either<Refusal, AttemptResponse>> {
		if (this.#request.hasEnded) {
			return this.#finish(ENDED_BEFORE_ATTEMPT);
		}

		for (let tries = 1; ;) {
			const quotaRefusal = this.#quota && await this.#quota.ensure();
			if (quotaRefusal) {
				return this.#finish(quotaRefusal);
			}

			const placing = placeRequest({request: this.#request, parts: this.#parts});
			const placed = placing instanceof Promise ? await placing : placing;
			if (this.#request.hasEnded) {
				return this.#finish(ENDED_BEFORE_ATTEMPT);
			}

			const identityRefusal = this.#parts.identityRefusal(this.#request);
			if (identityRefusal) {
				return this.#finish(identityRefusal);
			}

			const result = await placed.caseOf({
				Left: async refusal => this.#tryForward(refusal),
				Right: async placement => this.#attemptWithHedge(placement),
			});
			if (!result) {
				return this.#finish(placed.swap().map(refusal => refusalOfPlacement(refusal)).unsafeCoerce());
			}

			if (result.kind === 'answer') {
				if (result.answerClass === 'deliver' || result.answer.kind === 'partial') {
					return Right(result.answer);
				}

				this.#serverFailure = result.answer;
				this.#request.mayHaveRun = true;
			}

			const failure = result.kind === 'failure' ? result : failureOfAnswer(result.answer);
			if (failure.choosesAgain === true) {
				// Nothing was sent, so this does not count as a try. It ends because each chosen server is avoided afterwards.
				continue;
			}

			this.#request.mayHaveRun ||= failure.mayHaveRun;
			await waitForCrashCheck({request: this.#request, crashCheck: failure.crashCheck, now: this.#parts.now});
			if (failure.isFinal === true || tries >= MAX_TRIES || !await this.#mayRetry(failure)) {
				return this.#finish(this.#parts.identityRefusal(this.#request) ?? refusalOfFailure(failure));
			}

			this.#parts.counters.retried(failure.retryReason);
			this.#request.extraAttempts.push(failure.retryReason);
			tries += 1;
		}
	}

	/** Makes an attempt, and a hedged one in parallel if its response is overdue and another server has free capacity. */
	async #attemptWithHedge(placement: ObjectPlacement): Promise<AttemptResult> {
		const first = this.#start(placement);
		const hedgeAfterMs = hedgeDelayMs({request: this.#request, placement, nowMs: this.#parts.now()});
		if (hedgeAfterMs === undefined || await endsWithin({result: first.result, timeoutMs: hedgeAfterMs})) {
			return first.result;
		}

		const second = await this.#startHedge(first);
		return second ? takeFirstDeliverable({first, second}) : first.result;
	}

	/** Forwards the request to another instance if that may be of use; undefined if it is not or there is none. */
	async #tryForward(refusal: PlacementRefusal): Promise<AttemptResult | undefined> {
		const request = this.#request;
		const peer = choosePeer({request, refusal, parts: this.#parts});
		if (!peer) {
			return undefined;
		}

		const record: AttemptRecord = {server: peer.id as string as BackendServerName, why: 'forwarded: servers cannot be reached from here', startedAfterMs: this.#elapsedMs()};
		request.attempts.push(record);
		return this.#runAttempt({attempt: new PeerAttempt({request, peer, parts: this.#parts}), record, permit: this.#permits.use()});
	}

	#start(placement: ObjectPlacement): RunningAttempt {
		const request = this.#request;
		const {name} = placement.known.server;
		request.avoid.add(name);
		const record: AttemptRecord = {
			server: name,
			why: `${placement.isWarm ? 'warm' : 'cold'}, wait ${Math.round(placement.waitMs)} ms, expected ${Math.round(placement.expectedMs)} ms`,
			startedAfterMs: this.#elapsedMs(),
		};
		request.attempts.push(record);
		const attempt = new RelayAttempt({request, placement, parts: this.#parts});
		return {attempt, result: this.#runAttempt({attempt, record, permit: this.#permits.use()}), hasEnded: () => record.outcome !== undefined};
	}

	/** Time since the request arrived, in whole milliseconds. */
	#elapsedMs(): number {
		return Math.round(this.#parts.now() - this.#request.options.arrivedAtMs);
	}

	async #runAttempt({attempt, record, permit}: {readonly attempt: RunnableAttempt; readonly record: AttemptRecord; readonly permit: RetryPermit | undefined}): Promise<AttemptResult> {
		this.#activeAttempts.add(attempt);
		const quotaPermit = this.#quota?.use();
		const result = await attempt.run();
		if (permit) {
			this.#permits.settle({permit, wasSent: result.kind === 'answer' || result.wasSent});
		}

		quotaPermit?.settle(result);

		Object.assign(record, attempt.timing);
		record.heldMs = this.#elapsedMs() - record.startedAfterMs;
		record.outcome = result.kind === 'answer' ? `${ANSWERED} ${result.answer.status}` : result.detail;
		const isStillReceiving = result.kind === 'answer' && result.answer.kind === 'partial';
		if (!isStillReceiving) {
			this.#activeAttempts.delete(attempt);
		}

		return result;
	}

	async #startHedge(first: RunningAttempt): Promise<RunningAttempt | undefined> {
		const request = this.#request;
		if (!mayStartHedge(request)) {
			return undefined;
		}

		const placed = await placeRequest({request: this.#request, parts: this.#parts});
		const hasFreeCapacity = placed.map(({waitMs}) => waitMs === 0).orDefault(false);
		if (!hasFreeCapacity || !await this.#takePermit() || !await this.#hasQuota() || first.hasEnded() || request.hasEnded || this.#parts.identityRefusal(request)) {
			return undefined;
		}

		// The server may have left or asked for a pause while the request waited for its permits.
		const placement = placed.unsafeCoerce();
		if (!this.#parts.placer.isStillUsable({known: placement.known, nowMs: this.#parts.now()})) {
			return undefined;
		}

		this.#parts.counters.hedged('slow-answer');
		request.extraAttempts.push('slow-answer');
		return this.#start(placement);
	}

	async #hasQuota(): Promise<boolean> {
		return this.#quota === undefined || await this.#quota.ensure() === undefined;
	}

	async #mayRetry(failure: AttemptFailureResult): Promise<boolean> {
		const request = this.#request;
		const {counters} = this.#parts;
		const {body, route} = request.options;
		const isSafe = request.isIdempotent || !failure.mayHaveRun;
		if (request.hasEnded || !isSafe || !body.isComplete) {
			return false;
		}

		if (this.#parts.statusOf(request) === 'convicted') {
			counters.add('retry.quarantined');
			return false;
		}

		if (!failure.wasSent) {
			// An attempt without a connection puts no load on a server, so the retry needs no permit.
			return true;
		}

		if (request.sentTo.size >= route.maxServers) {
			counters.add('retry.attempts-used-up');
			return false;
		}

		if (!this.#permits.hasUnused && !await this.#takePermit()) {
			counters.add('retry.budget-used-up');
			return false;
		}

		// The caller may have disconnected, or the deadline passed, while the request waited for a permit.
		return !request.hasEnded;
	}

	async #takePermit(): Promise<boolean> {
		const permit = await this.#parts.takeRetry(this.#request);
		if (permit) {
			this.#permits.add(permit);
		}

		return permit !== undefined;
	}

	/** Returns the final result when no further attempt is made. */
	#finish(refusal: Refusal): Either<Refusal, AttemptResponse> {
		return finalResult({request: this.#request, serverFailure: this.#serverFailure, refusal});
	}
}
