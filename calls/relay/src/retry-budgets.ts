/**
 * Retry budgets of all services at this instance: the credit that its own requests earn, then claimed parts of the
 * allowance. Tells an engineer what is held, used and refused.
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

/** Time between two log lines about the budget of one service, in milliseconds. */
const LOG_INTERVAL_MS = 1000;
/** Longest time for which a request waits for a part of the allowance, in milliseconds. */
const CLAIM_WAIT_MS = 250;
/** Time after a failed claim in which none is made, in milliseconds. */
const CLAIM_BACKOFF_MS = 1000;

/** Options of {@link RetryBudgets}. */
export interface RetryBudgetsOptions {
	/** Bounds of each service over the whole fleet. */
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
	/** Monotonic time by which the request must have its final answer, in milliseconds. */
	readonly answerByMs: number;
}

/** Budgets by service. */
export class RetryBudgets {
	readonly #options: RetryBudgetsOptions;
	readonly #startedAtMs: number;
	readonly #services = new Map<ServiceName, ServiceRetries>();
	readonly #pauses: PauseDetector;
	/** Pauses of the process that were found; a claim that was made before one is not used after it. */
	#pauseCount = 0;

	constructor(options: RetryBudgetsOptions) {
		this.#options = options;
		this.#startedAtMs = options.clocks().monotonicMs;
		this.#pauses = new PauseDetector(options.clocks());
	}

	/** Notes a request of a service. */
	recordRequest(service: ServiceName): void {
		this.#retriesOf(service).window.recordRequest(this.#readClock());
	}

	/** A permit out of the credit or the allowance, for which it waits a short time; undefined: there is none. Never rejects. */
	async take({service, answerByMs}: TakePermitOptions): Promise<RetryPermit | undefined> {
		const untilMs = Math.min(answerByMs, this.#readClock() + CLAIM_WAIT_MS);
		let permit = this.#tryTake(service);
		while (!permit && this.#readClock() < untilMs && await this.#claim({service, untilMs})) {
			permit = this.#tryTake(service);
		}

		return this.#recordDecision({service, permit});
	}

	/** Further sends in the window of each service. */
	used(): ReadonlyMap<string, number> {
		const options = {nowMs: this.#options.clocks().monotonicMs, ratio: this.#options.bounds().ratio};
		return new Map([...this.#services].map(([service, {window}]) => [service, window.use(options).retries]));
	}

	/** Further sends that claimed parts still allow, by service. */
	granted(): ReadonlyMap<string, number> {
		const nowMs = this.#options.clocks().monotonicMs;
		return new Map([...this.#services].map(([service, retries]) => [service, retries.granted(nowMs)]));
	}

	#tryTake(service: ServiceName): RetryPermit | undefined {
		const nowMs = this.#readClock();
		const retries = this.#retriesOf(service);
		return retries.tryTakeCredit({nowMs, ratio: this.#options.bounds().ratio}) ?? retries.tryTakeGrant(nowMs);
	}

	/** Claims a part, unless that failed lately; answers whether one was claimed in time. Requests at the same time share one claim. */
	async #claim({service, untilMs}: {readonly service: ServiceName; readonly untilMs: number}): Promise<boolean> {
		const retries = this.#retriesOf(service);
		const nowMs = this.#readClock();
		if (partSize(this.#options.bounds()) === 0 || (!retries.claiming && nowMs < retries.claimAfterMs)) {
			return false;
		}

		retries.claiming ??= this.#claimOnce({service, retries});
		const hasEnded = await endsWithin({result: retries.claiming, timeoutMs: untilMs - nowMs});
		return hasEnded && retries.granted(this.#readClock()) > 0;
	}

	async #claimOnce({service, retries}: {readonly service: ServiceName; readonly retries: ServiceRetries}): Promise<void> {
		const {claim, counters, log, bounds} = this.#options;
		const pauseCount = this.#pauseCount;
		const claimed = await claim(service);
		const nowMs = this.#readClock();
		retries.claiming = undefined;
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

	/** Writes the state of a budget that was asked, once in an interval. */
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

	/** Monotonic time, in milliseconds; what was earned before a pause of the process is forgotten. */
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
