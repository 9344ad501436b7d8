/** A round against the retry budget: requests at a steady rate, of which a large part fails, while faults affect the gateways. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, configuration, endpointOf, RETRY_BUDGET,
} from '@pomelopick/testing.gateway-fleet';
import type {Play} from '@pomelopick/testing.gateway-fleet';
import {createDraw} from './draw.js';
import type {Draw} from './draw.js';
import {runFaultSeries} from './fault-series.js';
import {checkAttempts, checkTimes} from './budget-check.js';
import {checkCalls} from './call-check.js';
import type {CallRecord, TracedCall, Violation} from './call-check.js';
import {injectRetryFault, retryFaultNames} from './retry-faults.js';
import type {RetryFaultName} from './retry-faults.js';
import {findWorstWindow, checkRetries} from './retry-check.js';
import type {WorstWindow} from './retry-check.js';
import {startEnvironment} from './environment.js';
import type {SoakEnvironment} from './environment.js';

const DEFAULT_GATEWAYS = 8;
const DEFAULT_SERVERS = 12;
const MAX_SERVERS_PER_REQUEST = 3;
/** Maximum number of gateways that a caller tries one after the other. */
const MAX_CALLS_PER_REQUEST = 4;
const OBJECTS = 24;
const TIME_LEFT_MS = 2000;
const SETTLE_MS = 2500;
/** Request rates per second, of which a round draws one. */
const rates = [10, 30, 60, 120];
/** Percentages of requests that fail at every server, of which a round draws one. */
const failing = [30, 70, 100];
const PERCENT = 100;
const MILLISECONDS_PER_SECOND = 1000;
const FAULT_PAUSE_MS = 3000;
/** Factor that keeps the seeds of the callers apart from those of the faults. */
const CALLER_SEED_FACTOR = 1000;

const failures: readonly Play[] = ['shed', 'reset', 'failure'];

/** Options of {@link runRetryRound}. */
export interface RunRetryRoundOptions {
	readonly seed: number;
	/** Time for which requests are sent, in milliseconds. */
	readonly durationMs: number;
	readonly gateways?: number;
	readonly servers?: number;
	/** Faults in order. Drawn from the seed if left out. */
	readonly faults?: readonly RetryFaultName[];
	/** Requests per second. Drawn from the seed if left out. */
	readonly perSecond?: number;
	/** Percentage of requests that fail. Drawn from the seed if left out. */
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
	/** Number of calls by status. 0 means that the connection ended without a response. */
	readonly statuses: Readonly<Record<number, number>>;
	readonly repeats: number;
	readonly worst: WorstWindow | undefined;
	readonly violations: readonly Violation[];
	/** Log lines of the gateways about their budgets, by instance. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

/** Runs one round and checks it. */
export async function runRetryRound(options: RunRetryRoundOptions): Promise<RetryRoundResult> {
	const {seed, durationMs, gateways = DEFAULT_GATEWAYS, servers = DEFAULT_SERVERS} = options;
	const draw = createDraw(seed);
	const perSecond = options.perSecond ?? rates[draw(rates.length)]!;
	const failingPercent = options.failingPercent ?? failing[draw(failing.length)]!;
	const environment = await startEnvironment({seed, gateways, servers});
	try {
		environment.fleet.write('op/config', configuration({version: 2, maxAttempts: MAX_SERVERS_PER_REQUEST}));
		const endMs = performance.now() + durationMs;
		const calling = sendAll({
			environment, draw: createDraw(seed * CALLER_SEED_FACTOR), endMs, perSecond, failingPercent,
		});
		await sleep(draw(FAULT_PAUSE_MS));
		const faults = await runFaultSeries({
			next: count => performance.now() < endMs ? nextFault({fixed: options.faults, count, draw}) : undefined,
			inject: async name => injectRetryFault({
				environment, name, draw, seed,
			}),
			draw,
			pauseMs: FAULT_PAUSE_MS,
		});
		const calls = await calling;
		await sleep(SETTLE_MS);
		const gatewayFailures = await environment.listGatewayFailures();
		const {executions, arrivalLog: arrivals} = environment.fleet.records;
		const checked = {bounds: RETRY_BUDGET, sentAtMs: calls.map(({sentAtMs}) => sentAtMs), arrivals};
		const judged = {
			calls, arrivals, executions, disturbances: environment.disturbances, maxAttempts: MAX_SERVERS_PER_REQUEST,
		};
		return {
			seed,
			perSecond,
			failingPercent,
			faults,
			calls: calls.length,
			answered: calls.filter(({answer}) => answer.status === 200).length,
			statuses: countStatuses(calls),
			repeats: arrivals.length - new Set(arrivals.map(({requestId}) => requestId)).size,
			worst: findWorstWindow(checked),
			violations: [...gatewayFailures, ...checkRetries(checked), ...checkAttempts(judged), ...checkTimes(judged), ...checkCalls({calls, executions})],
			lines: environment.listLines('retry-budget'),
		};
	} finally {
		await environment.stop();
	}
}

function countStatuses(calls: readonly CallRecord[]): Readonly<Record<number, number>> {
	const counts: Record<number, number> = {};
	for (const {answer: {status}} of calls) {
		counts[status] = (counts[status] ?? 0) + 1;
	}

	return counts;
}

/** Returns the next fault of a fixed list, or a random fault. */
function nextFault({fixed, count, draw}: {readonly fixed: readonly RetryFaultName[] | undefined; readonly count: number; readonly draw: Draw}): RetryFaultName | undefined {
	return fixed ? fixed[count] : retryFaultNames[draw(retryFaultNames.length)];
}

interface SendAllOptions {
	readonly environment: SoakEnvironment;
	readonly draw: Draw;
	readonly endMs: number;
	readonly perSecond: number;
	readonly failingPercent: number;
}

/** Sends requests at a fixed rate, without waiting for responses to earlier ones. Resolves when all have ended. */
async function sendAll({environment, draw, endMs, perSecond, failingPercent}: SendAllOptions): Promise<readonly TracedCall[]> {
	const calls: Array<Promise<readonly TracedCall[]>> = [];
	while (performance.now() < endMs) {
		const plays: readonly Play[] = draw(PERCENT) < failingPercent ? Array.from({length: MAX_SERVERS_PER_REQUEST}, () => failures[draw(failures.length)]!) : ['whole'];
		calls.push(sendOne({environment, draw, plays}));
		await sleep(MILLISECONDS_PER_SECOND / perSecond);
	}

	const lists = await Promise.all(calls);
	return lists.flat();
}

/** Sends one request, and sends it again to another gateway if the connection ended without a response. */
async function sendOne({environment, draw, plays}: {readonly environment: SoakEnvironment; readonly draw: Draw; readonly plays: readonly Play[]}): Promise<readonly TracedCall[]> {
	const path = `/read/${draw(OBJECTS)}`;
	const calls: TracedCall[] = [];
	const offset = draw(environment.members.length);
	do {
		const {settings} = environment.members[(offset + calls.length) % environment.members.length]!;
		const sentAtMs = performance.now();
		const answer = await callGateway({
			endpoint: endpointOf(settings.listen.callers), path, object: path, plays, timeLeftMs: TIME_LEFT_MS,
		});
		calls.push({
			method: 'GET', path, body: '', sentAtMs, answer, instance: settings.instance, answeredAtMs: performance.now(), timeLeftMs: TIME_LEFT_MS,
		});
	} while (calls.at(-1)!.answer.status === 0 && calls.length < MAX_CALLS_PER_REQUEST);

	return calls;
}
