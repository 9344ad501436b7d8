/** Runs a workload under a schedule of faults and checks the history. */
import {setTimeout as sleep} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {checkHistory, summarize} from './check-history.js';
import type {HistorySummary, Violation} from './check-history.js';
import {applyFault} from './faults.js';
import type {FaultName} from './faults.js';
import type {ProxiedFleet} from './proxied-fleet.js';
import {runWorkload} from './workload.js';

const SETTLE_MS = 500;
const TIMEOUT_MS = 1200;
const PAUSE_MS = 25;

/** Faults that hold at the same time. */
export interface FaultStep {
	readonly faults: readonly FaultName[];
	/** Time for which they hold, in milliseconds. */
	readonly durationMs: number;
}

/** Options of {@link runHistory}. */
export interface RunHistoryOptions {
	readonly proxied: ProxiedFleet;
	readonly service: string;
	readonly seed: number;
	readonly workers: number;
	readonly steps: readonly FaultStep[];
}

/** What a run showed. */
export interface RunResult {
	readonly violations: readonly Violation[];
	readonly summary: HistorySummary;
}

/** Runs the steps one after the other under load, then lets the fleet settle. */
export async function runHistory({proxied, service, seed, workers, steps}: RunHistoryOptions): Promise<RunResult> {
	const random = xoroshiro128plus(seed);
	const draw = (below: number): number => uniformInt(random, 0, below - 1);
	const startedAtMs = Date.now();
	const ended = new AbortController();
	const running = runWorkload({
		seed, workers, service, targets: () => proxied.targets(), timeoutMs: TIMEOUT_MS, signal: ended.signal, pauseMs: PAUSE_MS,
	});
	for (const {faults, durationMs} of steps) {
		await sleep(SETTLE_MS);
		await Promise.all(faults.map(async name => applyFault({
			proxied, name, durationMs, draw,
		})));
	}

	await sleep(SETTLE_MS);
	ended.abort();
	const {copies, outcomes} = await running;
	const executions = await proxied.fleet.listExecutions();
	const history = {copies, outcomes, executions: executions.filter(execution => execution.startedAtMs >= startedAtMs)};
	return {violations: checkHistory(history), summary: summarize(history)};
}
