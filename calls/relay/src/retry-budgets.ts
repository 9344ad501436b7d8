/**
 * Retry budgets of all services at this instance. Permits come from the credit that the requests of this instance earn,
 * and then from claimed parts of the allowance that all instances share. The state of the budgets is logged for
 * operators.
 */
import type {Either} from 'purify-ts';
import type {ClaimedPart, ClaimFailure} from '@pomelopick/calls.live';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {ServiceName} from '@pomelopick/core.types';
import {PauseDetector, partSize} from '@pomelopick/steering.limits';
import type {ClockReadings, RetryBounds} from '@pomelopick/steering.limits';
import {endsWithin} from './attempt-race.js';
import type {RetryPermit} from './retry-permit.js';
import {ServiceRetries} from './service-retries.js';

/** Minimum time between two log lines about the budget of one service, in milliseconds. */
const LOG_INTERVAL_MS = 1000;
/** Maximum time for which a request waits for a part of the allowance, in milliseconds. */
const CLAIM_WAIT_MS = 250;
/** Time after a failed claim in which no new claim is made, in milliseconds. */
const CLAIM_BACKOFF_MS = 1000;

/** Options of {@link RetryBudgets}. */
export interface RetryBudgetsOptions {
	/** Bounds of the retries of each service over the whole fleet. */
	readonly bounds: () => RetryBounds;
	/** Claims a part of a service's allowance. */
	readonly claim: (service: ServiceName) => Promise<Either<ClaimFailure, ClaimedPart>>;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	readonly clocks: () => ClockReadings;
}

/** Options of {@link RetryBudgets.take}. */
export interface TakePermitOptions {
	readonly service: ServiceName;
	/** Monotonic time by which the request must have its final response, in milliseconds. */
	readonly answerByMs: number;
}

/** Retry budgets by service. */
export class RetryBudgets {
	readonly #options: RetryBudgetsOptions;
	readonly #startedAtMs: number;
	readonly #services = new Map<ServiceName, ServiceRetries>();
	readonly #pauses: PauseDetector;
	/** Number of pauses of the process that were detected. A claim that was made before a pause is not used after it. */
	#pauseCount = 0;

	constructor(options: RetryBudgetsOptions) {
		this.#options = options;
		this.#startedAtMs = options.clocks().monotonicMs;
		this.#pauses = new PauseDetector(options.clocks());
	}

	/** Records a request of a service, which earns credit. */
	recordRequest(service: ServiceName): void {
		this.#retriesOf(service).window.recordRequest(this.#readClock());
	}

	/** Takes a permit from the credit or from the allowance, waiting a short time for a claim; undefined: there is none. Never rejects. */
	async take({service, answerByMs}: TakePermitOptions): Promise<RetryPermit | undefined> {
		const untilMs = Math.min(answerByMs, this.#readClock() + CLAIM_WAIT_MS);
		let permit = this.#tryTake(service);
		while (!permit && this.#readClock() < untilMs && await this.#claim({service, untilMs})) {
			permit = this.#tryTake(service);
		}

		return this.#recordDecision({service, permit});
	}

	/** Returns the number of retries in the current window, by service. */
	used(): ReadonlyMap<string, number> {
		const options = {nowMs: this.#options.clocks().monotonicMs, ratio: this.#options.bounds().ratio};
		return new Map([...this.#services].map(([service, {window}]) => [service, window.use(options).retries]));
	}

	/** Returns the number of retries that claimed parts still allow, by service. */
	granted(): ReadonlyMap<string, number> {
		const nowMs = this.#options.clocks().monotonicMs;
		return new Map([...this.#services].map(([service, retries]) => [service, retries.granted(nowMs)]));
	}

	#tryTake(service: ServiceName): RetryPermit | undefined {
		const nowMs = this.#readClock();
		const retries = this.#retriesOf(service);
		return retries.tryTakeCredit({nowMs, ratio: this.#options.bounds().ratio}) ?? retries.tryTakeGrant(nowMs);
	}

	/** Claims a part unless a claim failed recently. Returns whether permits were granted in time. Concurrent requests share one claim. */
	async #claim({service, untilMs}: {readonly service: ServiceName; readonly untilMs: number}): Promise<boolean> {
		const retries = this.#retriesOf(service);
		const nowMs = this.#readClock();
		if (partSize(this.#options.bounds()) === 0 || (!retries.claimInProgress && nowMs < retries.claimAfterMs)) {
			return false;
		}

		retries.claimInProgress ??= this.#claimOnce({service, retries});
		const hasEnded = await endsWithin({result: retries.claimInProgress, timeoutMs: untilMs - nowMs});
		return hasEnded && retries.granted(this.#readClock()) > 0;
	}

	async #claimOnce({service, retries}: {readonly service: ServiceName; readonly retries: ServiceRetries}): Promise<void> {
		const {claim, counters, log, bounds} = this.#options;
		const pauseCount = this.#pauseCount;
		const claimed = await claim(service);
		const nowMs = this.#readClock();
		retries.claimInProgress = undefined;
		claimed.ifLeft(({reason, detail}) => {
			retries.claimAfterMs = nowMs + CLAIM_BACKOFF_MS;
			counters.add(`retry-allowance.${reason}`);
			log.line('retry-allowance-refused', {service, reason, detail});
		}).ifRight(({part, claimedAtMs}) => {
			const size = pauseCount === this.#pauseCount ? partSize(bounds()) : 0;
			retries.useGrant({size, claimedAtMs});
			counters.add('retry-allowance.claimed');
			log.line('retry-allowance-claimed', {
				service, part, size, tookMs: Math.round(nowMs - claimedAtMs),
			});
		});
	}

	#recordDecision({service, permit}: {readonly service: ServiceName; readonly permit: RetryPermit | undefined}): RetryPermit | undefined {
		const retries = this.#retriesOf(service);
		if (permit) {
			retries.taken += 1;
			this.#options.counters.add('retry-budget.taken');
		} else {
			retries.refused += 1;
			this.#options.counters.add('retry-budget.refused');
		}

		this.#logState({service, retries});
		return permit;
	}

	/** Logs the state of a budget, at most once per interval. */
	#logState({service, retries}: {readonly service: ServiceName; readonly retries: ServiceRetries}): void {
		const {log, clocks, bounds} = this.#options;
		const nowMs = clocks().monotonicMs;
		if (nowMs - retries.lastLineAtMs < LOG_INTERVAL_MS) {
			return;
		}

		const {taken, refused, window} = retries;
		const {requests, retries: inWindow, most} = window.use({nowMs, ratio: bounds().ratio});
		log.line('retry-budget', {
			service, taken, refused, requests, retries: inWindow, most: Number(most.toFixed(1)), granted: retries.granted(nowMs), sinceStartMs: Math.round(nowMs - this.#startedAtMs),
		});
		retries.taken = 0;
		retries.refused = 0;
		retries.lastLineAtMs = nowMs;
	}

	/** Returns the monotonic time, in milliseconds. If the process was paused, drops the credit earned before the pause. */
	#readClock(): number {
		const readings = this.#options.clocks();
		const pausedMs = this.#pauses.check(readings);
		if (pausedMs > 0) {
			this.#pauseCount += 1;
			for (const retries of this.#services.values()) {
				retries.forgetCredit();
			}

			this.#options.counters.add('retry-budget.forgotten');
			this.#options.log.line('retry-credit-forgotten', {pausedMs: Math.round(pausedMs)});
		}

		return readings.monotonicMs;
	}

	#retriesOf(service: ServiceName): ServiceRetries {
		let retries = this.#services.get(service);
		if (!retries) {
			const {bounds, clocks} = this.#options;
			retries = new ServiceRetries({windowMs: bounds().windowMs, now: () => clocks().monotonicMs});
			this.#services.set(service, retries);
		}

		return retries;
	}
}
