/** Figures of a run. */
import {build} from 'hdr-histogram-js';
import type {Deployment} from '@pomelopick/testing.fleet';
import type {BackendStatistics} from '@pomelopick/testing.backend-stand-in';
import {idealLatencies} from './central-queue.js';
import type {CallResult} from './load.js';
import type {SlotUse} from './slot-use.js';

const MILLISECONDS_PER_SECOND = 1000;
const MICROSECONDS_PER_MILLISECOND = 1000;
const HIGHEST_TRACKED = 60_000_000;
const SLOWEST_SHOWN = 20;

/** Percentiles, in milliseconds. */
export interface Percentiles {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
}

/** One refusal. */
export interface SlowRefusal {
	/** Time of arrival from the start of the run, in milliseconds. */
	readonly atMs: number;
	/** Time from sending to the refusal, in milliseconds. */
	readonly tookMs: number;
	readonly reason: string | undefined;
}

/** Figures of one service. */
export interface ServiceFigures {
	readonly service: string;
	readonly calls: number;
	readonly answered: number;
	readonly refused: number;
	readonly silent: number;
	readonly latencyMs: Percentiles;
	readonly idealMs: Percentiles;
	/** P99 over the ideal's p99. */
	readonly p99Ratio: number;
	/** Work answered over the work that all slots could do in the time of the arrivals, from 0 to 1. */
	readonly goodput: number;
	/** Where the time of the slots went. */
	readonly slotUse: SlotUse;
	/** Time in which refusals were answered, in milliseconds. */
	readonly refusalMs: Percentiles;
	/** The refusals that took longest, slowest first. */
	readonly slowestRefusals: readonly SlowRefusal[];
}

/** Figures of a run. */
export interface RunFigures {
	readonly scenario: string;
	readonly deployment: string;
	readonly policy: string;
	readonly seed: number;
	readonly services: readonly ServiceFigures[];
	readonly refusalsByReason: Readonly<Record<string, number>>;
	/** Most calls that a server held above its slots. */
	readonly worstOverload: number;
	/** Calls that backend servers shed. */
	readonly shed: number;
	/** Figures that belong to the scenario alone. */
	readonly extra: Readonly<Record<string, number | string>>;
}

/** Options of {@link describeService}. */
export interface DescribeServiceOptions {
	readonly service: string;
	readonly slots: number;
	/** Part of the run that is counted, in milliseconds from its start. */
	readonly window: {readonly fromMs: number; readonly toMs: number};
	readonly results: readonly CallResult[];
	readonly slotUse: SlotUse;
}

/** Figures of one service's calls. Latencies go by the time of arrival, goodput by the time of the answer. */
export function describeService({service, slots, window: {fromMs, toMs}, results, slotUse}: DescribeServiceOptions): ServiceFigures {
	const all = results.filter(({arrival}) => arrival.service === service);
	const ideal = idealLatencies({arrivals: all.map(({arrival}) => arrival), slots});
	const own = all.filter(({arrival}) => arrival.atMs >= fromMs);
	const answered = own.filter(({ended}) => ended === 'answered');
	const refused = own.filter(({ended}) => ended === 'refused');
	const latencyMs = percentiles(answered.map(result => result.latencyMs));
	const idealMs = percentiles(ideal.filter((_, index) => all[index]!.arrival.atMs >= fromMs));
	const isInWindow = ({arrival, latencyMs: elapsedMs}: CallResult): boolean => arrival.atMs + elapsedMs >= fromMs && arrival.atMs + elapsedMs < toMs;
	const workDone = all.filter(result => result.ended === 'answered' && isInWindow(result)).reduce((sum, {arrival}) => sum + arrival.workMs, 0);
	return {
		service,
		calls: own.length,
		answered: answered.length,
		refused: refused.length,
		silent: own.length - answered.length - refused.length,
		latencyMs,
		idealMs,
		p99Ratio: round(latencyMs.p99 / idealMs.p99),
		goodput: round(workDone / (slots * (toMs - fromMs))),
		slotUse: {answered: round(slotUse.answered), lost: round(slotUse.lost)},
		refusalMs: percentiles(refused.map(({lastTryMs}) => lastTryMs)),
		slowestRefusals: [...refused].sort((left, right) => right.lastTryMs - left.lastTryMs).slice(0, SLOWEST_SHOWN)
			.map(({arrival, lastTryMs, reason}) => ({atMs: round(arrival.atMs), tookMs: round(lastTryMs), reason})),
	};
}

/** Most calls above the slots of any server. */
export function worstOverload({deployment, statistics}: {readonly deployment: Deployment; readonly statistics: readonly BackendStatistics[]}): number {
	const slotsOf = (name: string): number => deployment.services.find(service => name.startsWith(`${service.name}-`))!.slots;
	return Math.max(0, ...statistics.map(({name, worstInFlight}) => worstInFlight - slotsOf(name)));
}

/** Counts refusals by reason, silent calls included. */
export function countReasons(results: readonly CallResult[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {ended, reason} of results) {
		if (ended !== 'answered') {
			const name = ended === 'silent' ? `silent: ${reason}` : reason ?? '';
			counts[name] = (counts[name] ?? 0) + 1;
		}
	}

	return counts;
}

/** Percentiles of values in milliseconds, recorded in microseconds. */
export function percentiles(values: readonly number[]): Percentiles {
	const histogram = build({highestTrackableValue: HIGHEST_TRACKED, numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(0, Math.round(value * MICROSECONDS_PER_MILLISECOND)));
	}

	const at = (percentile: number): number => round(histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND);
	return {p50: at(50), p99: at(99), p999: at(99.9)};
}

/** Calls per second that slots can answer. */
export function capacityPerSecond({slots, meanWorkMs}: {readonly slots: number; readonly meanWorkMs: number}): number {
	return slots * MILLISECONDS_PER_SECOND / meanWorkMs;
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
