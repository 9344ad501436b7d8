/** Plays the exchange of server loads and demands between instances of one region: reports to a collector, which answers the sums over the fleet. */
import type {AdmissionTable} from '@pomelopick/steering.admission';
import {
	addDemands, addLoads, applyLoads, listOwnLoads, LoadCollector,
} from '@pomelopick/steering.loads';
import type {ServiceDemand} from '@pomelopick/steering.loads';
import type {ObservationTable} from '@pomelopick/steering.servers';
import type {Clock} from '@pomelopick/testing.placement-model';

/** Time between two reports, and the range by which it varies, in milliseconds, as in `calls/loads`. */
const INTERVAL_MS = 500;
const JITTER_MS = 100;
/** Delay of a message, in milliseconds. */
const DELAY_MS = 2;

/** Time for which the collector answers the same sums of demand, in milliseconds, as in `calls/loads`. */
const DEMAND_SUM_LIFETIME_MS = 100;

/** An instance that takes part in the exchange. */
export interface ExchangingInstance {
	readonly observations: ObservationTable;
	readonly admissions: AdmissionTable;
}

/** Options of {@link LoadExchange}. */
export interface LoadExchangeOptions {
	readonly instances: readonly ExchangingInstance[];
	readonly clock: Clock;
	readonly durationMs: number;
	/** Number above 0 and up to 1. */
	readonly random: () => number;
}

/** Reports of all instances, each at its own times. */
export class LoadExchange {
	readonly #options: LoadExchangeOptions;
	readonly #collector = new LoadCollector<string>();
	#demandSum: readonly ServiceDemand[] = [];
	#demandSumAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: LoadExchangeOptions) {
		this.#options = options;
	}

	/** Schedules the reports until the end of the play. */
	start(): void {
		for (const [index, instance] of this.#options.instances.entries()) {
			this.#schedule({instance, source: String(index), inMs: INTERVAL_MS * this.#options.random()});
		}
	}

	#schedule({instance, source, inMs}: {readonly instance: ExchangingInstance; readonly source: string; readonly inMs: number}): void {
		const {clock, durationMs, random} = this.#options;
		if (clock.nowMs + inMs <= durationMs) {
			clock.after(inMs, () => {
				this.#report({instance, source});
				this.#schedule({instance, source, inMs: INTERVAL_MS + (JITTER_MS * (random() - 0.5))});
			});
		}
	}

	#report({instance: {observations, admissions}, source}: {readonly instance: ExchangingInstance; readonly source: string}): void {
		const {clock} = this.#options;
		const own = listOwnLoads({observations, nowMs: clock.nowMs});
		const demand = admissions.listDemands(clock.nowMs);
		clock.after(DELAY_MS, () => {
			this.#collector.record({
				source, loads: own, demand, nowMs: clock.nowMs,
			});
			const all = addLoads(this.#collector.list(clock.nowMs));
			const demands = this.#sumDemands();
			clock.after(DELAY_MS, () => {
				applyLoads({
					observations, all, own, nowMs: clock.nowMs,
				});
				admissions.applyFleetDemands({demands, liveInstances: this.#options.instances.length, nowMs: clock.nowMs});
			});
		});
	}

	#sumDemands(): readonly ServiceDemand[] {
		const {nowMs} = this.#options.clock;
		if (nowMs - this.#demandSumAtMs >= DEMAND_SUM_LIFETIME_MS) {
			this.#demandSumAtMs = nowMs;
			this.#demandSum = addDemands(this.#collector.listDemands(nowMs));
		}

		return this.#demandSum;
	}
}
