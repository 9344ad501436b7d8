/**
 * Shares the load of backend servers among all instances.
 *
 * Each instance reports its requests in flight to the collector of its region and is answered with the sums over all
 * instances; collectors report the sums of their regions to each other. Everything is advisory: without it, placement knows
 * what servers report in their own responses.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {PeerResponse, PostOptions} from '@pomelopick/calls.live';
import type {CallCounters} from '@pomelopick/core.telemetry';
import type {
	CodedError, Endpoint, InstanceId, RegionName,
} from '@pomelopick/core.types';
import {
	addDemands, addLoads, chooseCollectors, LoadCollector,
} from '@pomelopick/steering.loads';
import type {ServiceDemand, SharedLoad} from '@pomelopick/steering.loads';
import {LOADS_PATH} from './load-listener.js';
import {decodeLoadAnswer, encodeLoadReport} from './load-messages.js';
import type {LoadAnswer, LoadReport} from './load-messages.js';

/** Time between two reports, in milliseconds. A queue of a server fills in about this time; more reports would exceed what instances may spend on control. */
const INTERVAL_MS = 500;
/** Time by which the intervals of instances vary, in milliseconds, so that they do not report at the same moment. */
const JITTER_MS = 100;
/** Time within which a collector must answer a report, in milliseconds. */
const TIMEOUT_MS = 250;
/** Number of instances of a region that may collect its reports, one after the other. */
const COLLECTORS_PER_REGION = 2;
/** Time for which an instance that does not answer is not used as a collector, in milliseconds. */
const PAUSE_MS = 3000;
/** Time for which a collector answers the same sums of demand, in milliseconds: with 33 instances it would otherwise add up all of them 66 times a second. */
const DEMAND_SUM_LIFETIME_MS = 100;
const OK = 200;

/** An instance of the fleet. */
export interface LoadPeer {
	readonly id: InstanceId;
	readonly region: RegionName;
	/** Its listener for other instances; undefined: it has none. */
	readonly peers: Endpoint | undefined;
}

/** Options of {@link LoadSharing}. */
export interface LoadSharingOptions {
	readonly self: InstanceId;
	readonly region: RegionName;
	/** Live instances, this one included; the same list until it changes. */
	readonly instances: () => readonly LoadPeer[];
	/** Whether loads are shared: the servers report their work factor, or the configuration has organisations. */
	readonly isNeeded: () => boolean;
	/** Lists the requests of this instance that are in flight, and the work factors that servers reported to it. */
	readonly listOwn: () => readonly SharedLoad[];
	/** Lists the demand for services that this instance measures; empty where it measures none. */
	readonly listDemands: () => readonly ServiceDemand[];
	/** Applies the sums over all instances; `own` is the part of this instance in the loads. */
	readonly apply: (sums: {readonly all: readonly SharedLoad[]; readonly own: readonly SharedLoad[]; readonly demand: readonly ServiceDemand[]}) => void;
	/** Sends a message to another instance; never rejects. */
	readonly post: (options: PostOptions) => Promise<Either<CodedError, PeerResponse>>;
	readonly sleep: (milliseconds: number) => Promise<void>;
	readonly counters: CallCounters;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

interface KnownCollectors {
	/** Instances among which they were chosen. */
	readonly instances: readonly LoadPeer[];
	readonly collectors: readonly LoadPeer[];
}

/** Reports, and collects the reports of others. */
export class LoadSharing {
	readonly #options: LoadSharingOptions;
	readonly #instances = new LoadCollector<InstanceId>();
	readonly #regions = new LoadCollector<RegionName>();
	/** Monotonic times until which instances are not used as collectors, in milliseconds. */
	readonly #pausedUntilMs = new Map<InstanceId, number>();
	/** Collectors by region, kept until the instances change. */
	readonly #collectors = new Map<RegionName, KnownCollectors>();
	#demandSum: readonly ServiceDemand[] = [];
	#demandSumAtMs = Number.NEGATIVE_INFINITY;
	#isStopped = false;

	constructor(options: LoadSharingOptions) {
		this.#options = options;
	}

	/** Reports at intervals; resolves after {@link stop}. */
	async run(): Promise<void> {
		const {sleep, random, isNeeded} = this.#options;
		while (!this.#isStopped) {
			await sleep(INTERVAL_MS + (JITTER_MS * (random() - 0.5)));
			if (!this.#isStopped && isNeeded()) {
				await this.share();
			}
		}
	}

	/** Ends {@link run}. */
	stop(): void {
		this.#isStopped = true;
	}

	/** Reports once, and as a collector also the sums of the region. */
	async share(): Promise<void> {
		const {self, listOwn, listDemands, apply} = this.#options;
		const own = listOwn();
		const demand = listDemands();
		const collector = this.#findCollector(this.#options.region);
		if (collector && collector.id !== self) {
			await this.#report({collector, own, demand});
		} else {
			this.#instances.record({
				source: self, loads: own, demand, nowMs: this.#options.now(),
			});
			const {loads: all, demand: summed} = this.#addAll();
			apply({all, own, demand: summed});
		}

		if (this.#instances.hasReports(this.#options.now())) {
			await this.#reportRegion();
		}
	}

	/** Records a report; returns the answer to its sender. */
	receive({instance, region, loads, demand}: LoadReport): LoadAnswer {
		const nowMs = this.#options.now();
		if (instance !== undefined) {
			this.#instances.record({
				source: instance, loads, demand, nowMs,
			});
			return this.#addAll();
		}

		this.#regions.record({
			source: region!, loads, demand, nowMs,
		});
		return {loads: [], demand: []};
	}

	async #report({collector, own, demand}: {readonly collector: LoadPeer; readonly own: readonly SharedLoad[]; readonly demand: readonly ServiceDemand[]}): Promise<void> {
		const {self, apply} = this.#options;
		const answer = await this.#send({
			peer: collector, report: {
				instance: self, region: undefined, loads: own, demand,
			},
		});
		answer.chain(text => decodeLoadAnswer(text)).ifLeft(error => {
			this.#recordFailure({peer: collector, error});
		}).ifRight(sums => {
			apply({all: sums.loads, own, demand: sums.demand});
		});
	}

	/** Reports the sums of the region to the collectors of the other regions. */
	async #reportRegion(): Promise<void> {
		const {region, instances, now} = this.#options;
		const regions = new Set(instances().map(instance => instance.region));
		regions.delete(region);
		const nowMs = now();
		const loads = addLoads(this.#instances.list(nowMs));
		const demand = addDemands(this.#instances.listDemands(nowMs));
		await Promise.all([...regions].map(async other => {
			const peer = this.#findCollector(other);
			const sent = peer && await this.#send({
				peer, report: {
					instance: undefined, region, loads, demand,
				},
			});
			sent?.ifLeft(error => {
				this.#recordFailure({peer: peer!, error});
			});
		}));
	}

	/** Counts a report that failed, and does not use its receiver as a collector for a while. */
	#recordFailure({peer, error: {code}}: {readonly peer: LoadPeer; readonly error: CodedError}): void {
		const {counters, now} = this.#options;
		counters.add(`server-loads.${code}`);
		this.#pausedUntilMs.set(peer.id, now() + PAUSE_MS);
	}

	#addAll(): LoadAnswer {
		const nowMs = this.#options.now();
		if (nowMs - this.#demandSumAtMs >= DEMAND_SUM_LIFETIME_MS) {
			this.#demandSumAtMs = nowMs;
			this.#demandSum = addDemands([...this.#instances.listDemands(nowMs), ...this.#regions.listDemands(nowMs)]);
		}

		return {loads: addLoads([...this.#instances.list(nowMs), ...this.#regions.list(nowMs)]), demand: this.#demandSum};
	}

	#findCollector(region: RegionName): LoadPeer | undefined {
		const nowMs = this.#options.now();
		return this.#listCollectors(region).find(({id}) => nowMs >= (this.#pausedUntilMs.get(id) ?? 0));
	}

	#listCollectors(region: RegionName): readonly LoadPeer[] {
		const instances = this.#options.instances();
		const known = this.#collectors.get(region);
		if (known?.instances === instances) {
			return known.collectors;
		}

		const able = instances.filter(({peers}) => peers !== undefined);
		const collectors = chooseCollectors({region, instances: able, count: COLLECTORS_PER_REGION});
		this.#collectors.set(region, {instances, collectors});
		return collectors;
	}

	async #send({peer, report}: {readonly peer: LoadPeer; readonly report: LoadReport}): Promise<Either<CodedError, string>> {
		const answered = await this.#options.post({
			endpoint: peer.peers!, path: LOADS_PATH, body: encodeLoadReport(report), timeoutMs: TIMEOUT_MS,
		});
		return answered.chain<CodedError, string>(({status, text}) => status === OK
			? Right(text)
			: Left({code: 'instance-refused', message: `expected status ${OK}, found ${status}`}));
	}
}
