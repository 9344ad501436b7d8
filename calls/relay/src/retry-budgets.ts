/** Retry budgets of all services at this instance, and what an engineer is told of them. */
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {ServiceName} from '@pomelopick/core.types';
import {RetryWindow} from '@pomelopick/steering.limits';
import type {RetryBounds} from '@pomelopick/steering.limits';

/** Time between two log lines about the budget of one service, in milliseconds. */
const LINE_INTERVAL_MS = 1000;

/** Options of {@link RetryBudgets}. */
export interface RetryBudgetsOptions {
	/** Bounds of each service over the whole fleet. */
	readonly bounds: () => RetryBounds;
	/** Instances that share the allowance, this one included. */
	readonly countInstances: () => number;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

interface ServiceBudget {
	readonly window: RetryWindow;
	/** Further sends since the last log line. */
	taken: number;
	refused: number;
	lineAtMs: number;
}

/** Budgets by service. */
export class RetryBudgets {
	readonly #options: RetryBudgetsOptions;
	readonly #startedAtMs: number;
	readonly #services = new Map<ServiceName, ServiceBudget>();

	constructor(options: RetryBudgetsOptions) {
		this.#options = options;
		this.#startedAtMs = options.now();
	}

	/** Notes a request of a service. */
	noteRequest(service: ServiceName): void {
		this.#of(service).window.noteRequest(this.#options.now());
	}

	/** Takes one send to a further server; false when the budget does not allow it. */
	tryTake(service: ServiceName): boolean {
		const {counters, countInstances, now} = this.#options;
		const budget = this.#of(service);
		const isTaken = budget.window.tryTake({nowMs: now(), instances: countInstances()});
		if (isTaken) {
			budget.taken += 1;
			counters.add('retry-budget.taken');
		} else {
			budget.refused += 1;
			counters.add('retry-budget.refused');
		}

		this.#tell({service, budget});
		return isTaken;
	}

	/** Further sends in the window of each service. */
	used(): ReadonlyMap<string, number> {
		const options = {nowMs: this.#options.now(), instances: this.#options.countInstances()};
		return new Map([...this.#services].map(([service, {window}]) => [service, window.use(options).retries]));
	}

	/** Writes the state of a budget that was asked, once in an interval. */
	#tell({service, budget}: {readonly service: ServiceName; readonly budget: ServiceBudget}): void {
		const {countInstances, log, now} = this.#options;
		const nowMs = now();
		if (nowMs - budget.lineAtMs < LINE_INTERVAL_MS) {
			return;
		}

		const {taken, refused, window} = budget;
		const instances = countInstances();
		const {requests, retries, most} = window.use({nowMs, instances});
		log.line('retry-budget', {
			service, taken, refused, requests, retries, most, instances, sinceStartMs: Math.round(nowMs - this.#startedAtMs),
		});
		budget.taken = 0;
		budget.refused = 0;
		budget.lineAtMs = nowMs;
	}

	#of(service: ServiceName): ServiceBudget {
		let budget = this.#services.get(service);
		if (!budget) {
			budget = {
				window: new RetryWindow(this.#options.bounds()), taken: 0, refused: 0, lineAtMs: Number.NEGATIVE_INFINITY,
			};
			this.#services.set(service, budget);
		}

		return budget;
	}
}
