/** One round against the retry budget: a steady rate of requests of which most fail, while gateways are struck. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, configuration, endpointOf, RETRY_BUDGET,
} from '@pomelopick/testing.gateway-fleet';
import type {Play} from '@pomelopick/testing.gateway-fleet';
import {createDraw} from './draw.js';
import type {Draw} from './draw.js';
import {bringSeries} from './fault-series.js';
import {judgeCalls} from './judge.js';
import type {CallRecord, Violation} from './judge.js';
import {bringRetryFault, retryFaultNames} from './retry-faults.js';
import type {RetryFaultName} from './retry-faults.js';
import {findWorstWindow, judgeRetries} from './retry-judge.js';
import type {WorstWindow} from './retry-judge.js';
import {startWorld} from './world.js';
import type {World} from './world.js';

const DEFAULT_GATEWAYS = 8;
const DEFAULT_SERVERS = 12;
const MOST_SERVERS_OF_A_REQUEST = 3;
/** Gateways that a caller tries one after the other. */
const MOST_CALLS_OF_A_REQUEST = 4;
const OBJECTS = 24;
const TIME_LEFT_MS = 2000;
const SETTLE_MS = 2500;
/** Rates at which requests are sent, per second; a round draws one. */
const rates = [10, 30, 60, 120];
/** Parts of the requests that fail wherever they arrive, in percent; a round draws one. */
const failing = [30, 70, 100];
const PERCENT = 100;
const MILLISECONDS_PER_SECOND = 1000;
const FAULT_PAUSE_MS = 3000;
/** Seeds of the callers lie apart from those of the faults by this factor. */
const CALLER_SEED_FACTOR = 1000;

const failures: readonly Play[] = ['shed', 'reset', 'failure'];

/** Options of {@link runRetryRound}. */
export interface RunRetryRoundOptions {
	readonly seed: number;
	/** Time for which requests are sent, in milliseconds. */
	readonly durationMs: number;
	readonly gateways?: number;
	readonly servers?: number;
	/** Faults in their order; drawn where left out. */
	readonly faults?: readonly RetryFaultName[];
	/** Requests a second; drawn where left out. */
	readonly perSecond?: number;
	/** Requests that fail, in percent; drawn where left out. */
	readonly failingPercent?: number;
}

/** Outcome of a round. */
export interface RetryRoundResult {
	readonly seed: number;
	readonly perSecond: number;
	readonly failingPercent: number;
	readonly faults: readonly RetryFaultName[];
	readonly calls: number;
	readonly answered: number;
	/** Calls by status; 0 stands for a connection that ended without an answer. */
	readonly statuses: Readonly<Record<number, number>>;
	readonly repeats: number;
	readonly worst: WorstWindow | undefined;
	readonly violations: readonly Violation[];
	/** Log lines of the gateways about their budgets, by instance. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

interface TimedCall extends CallRecord {
	/** Monotonic time at which it was sent, in milliseconds. */
	readonly sentAtMs: number;
}

/** Plays one round and judges it. */
export async function runRetryRound(options: RunRetryRoundOptions): Promise<RetryRoundResult> {
	const {seed, durationMs, gateways = DEFAULT_GATEWAYS, servers = DEFAULT_SERVERS} = options;
	const draw = createDraw(seed);
	const perSecond = options.perSecond ?? rates[draw(rates.length)]!;
	const failingPercent = options.failingPercent ?? failing[draw(failing.length)]!;
	const world = await startWorld({seed, gateways, servers});
	try {
		world.fleet.write('op/config', configuration({version: 2, mostServers: MOST_SERVERS_OF_A_REQUEST}));
		const endMs = performance.now() + durationMs;
		const calling = sendAll({
			world, draw: createDraw(seed * CALLER_SEED_FACTOR), endMs, perSecond, failingPercent,
		});
		await sleep(draw(FAULT_PAUSE_MS));
		const faults = await bringSeries({
			next: count => performance.now() < endMs ? nextFault({fixed: options.faults, count, draw}) : undefined,
			bring: async name => bringRetryFault({
				world, name, draw, seed,
			}),
			draw,
			pauseMs: FAULT_PAUSE_MS,
		});
		const calls = await calling;
		await sleep(SETTLE_MS);
		const stuck = await world.listStuck();
		const {executions, arrivalLog: arrivals} = world.fleet.records;
		const judged = {bounds: RETRY_BUDGET, sentAtMs: calls.map(({sentAtMs}) => sentAtMs), arrivals};
		return {
			seed,
			perSecond,
			failingPercent,
			faults,
			calls: calls.length,
			answered: calls.filter(({answer}) => answer.status === 200).length,
			statuses: countStatuses(calls),
			repeats: arrivals.length - new Set(arrivals.map(({requestId}) => requestId)).size,
			worst: findWorstWindow(judged),
			violations: [...stuck, ...judgeRetries(judged), ...judgeCalls({calls, executions})],
			lines: world.listLines('retry-budget'),
		};
	} finally {
		await world.stop();
	}
}

function countStatuses(calls: readonly CallRecord[]): Readonly<Record<number, number>> {
	const counts: Record<number, number> = {};
	for (const {answer: {status}} of calls) {
		counts[status] = (counts[status] ?? 0) + 1;
	}

	return counts;
}

/** The next fault of a fixed list, or one that is drawn. */
function nextFault({fixed, count, draw}: {readonly fixed: readonly RetryFaultName[] | undefined; readonly count: number; readonly draw: Draw}): RetryFaultName | undefined {
	return fixed ? fixed[count] : retryFaultNames[draw(retryFaultNames.length)];
}

interface SendAllOptions {
	readonly world: World;
	readonly draw: Draw;
	readonly endMs: number;
	readonly perSecond: number;
	readonly failingPercent: number;
}

/** Sends requests at a rate, whether earlier ones were answered or not; resolves when all have ended. */
async function sendAll({world, draw, endMs, perSecond, failingPercent}: SendAllOptions): Promise<readonly TimedCall[]> {
	const calls: Array<Promise<readonly TimedCall[]>> = [];
	while (performance.now() < endMs) {
		const plays: readonly Play[] = draw(PERCENT) < failingPercent ? Array.from({length: MOST_SERVERS_OF_A_REQUEST}, () => failures[draw(failures.length)]!) : ['whole'];
		calls.push(sendOne({world, draw, plays}));
		await sleep(MILLISECONDS_PER_SECOND / perSecond);
	}

	const lists = await Promise.all(calls);
	return lists.flat();
}

/** Sends one request, and again to another gateway when one is not there. */
async function sendOne({world, draw, plays}: {readonly world: World; readonly draw: Draw; readonly plays: readonly Play[]}): Promise<readonly TimedCall[]> {
	const path = `/read/${draw(OBJECTS)}`;
	const calls: TimedCall[] = [];
	const offset = draw(world.members.length);
	do {
		const {settings} = world.members[(offset + calls.length) % world.members.length]!;
		const sentAtMs = performance.now();
		const answer = await callGateway({
			endpoint: endpointOf(settings.listen.callers), path, object: path, plays, timeLeftMs: TIME_LEFT_MS,
		});
		calls.push({
			method: 'GET', path, body: '', sentAtMs, answer,
		});
	} while (calls.at(-1)!.answer.status === 0 && calls.length < MOST_CALLS_OF_A_REQUEST);

	return calls;
}
