/** A round against the rate limits of servers: requests at a steady rate to servers that name limits, while faults affect the gateways and the store. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {callGateway, endpointOf} from '@pomelopick/testing.gateway-fleet';
import type {ArrivalRecord, CallerResponse, Play} from '@pomelopick/testing.gateway-fleet';
import {groupBy} from '@pomelopick/testing.history';
import {checkCalls} from './call-check.js';
import type {TracedCall, Violation} from './call-check.js';
import {createDraw} from './draw.js';
import type {Draw} from './draw.js';
import {startEnvironment} from './environment.js';
import type {SoakEnvironment} from './environment.js';
import {checkRateLimits, findRateLimitUse} from './rate-limit-check.js';
import type {RateLimitUse} from './rate-limit-check.js';

const DEFAULT_GATEWAYS = 8;
const DEFAULT_SERVERS = 12;
const DEFAULT_OBJECTS = 97;
const DEFAULT_PER_SECOND = 150;
const TIME_LEFT_MS = 2000;
const SETTLE_MS = 1500;
const MILLISECONDS_PER_SECOND = 1000;
/** Factor that keeps the seeds of the callers apart from those of the faults. */
const CALLER_SEED_FACTOR = 1000;

/** A step of a round, at a time after its start. */
export interface RateLimitStep {
	readonly atMs: number;
	readonly run: (environment: SoakEnvironment) => Promise<void> | void;
}

/** Options of {@link runRateLimitRound}. */
export interface RunRateLimitRoundOptions {
	readonly seed: number;
	/** Time for which requests are sent, in milliseconds. */
	readonly durationMs: number;
	readonly steps: readonly RateLimitStep[];
	readonly gateways?: number;
	readonly servers?: number;
	readonly objects?: number;
	readonly perSecond?: number;
	/** How servers treat the first two arrivals of each request, drawn from these; the later ones as the second. Correctly if left out. */
	readonly plays?: readonly Play[];
	/** Number of times that a caller sends a refused request again after the time in `Retry-After`. */
	readonly callerRetries?: number;
}

/** Outcome of a round. */
export interface RateLimitRoundResult {
	readonly calls: readonly TracedCall[];
	readonly uses: readonly RateLimitUse[];
	readonly violations: readonly Violation[];
	/** Requests that reached each server, by its name. */
	readonly arrivals: ReadonlyMap<string, readonly ArrivalRecord[]>;
	/** Monotonic time of the start, in milliseconds. */
	readonly startMs: number;
	/** Log lines of the gateways about the use of the limits. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

/** Runs one round and checks it. */
export async function runRateLimitRound(options: RunRateLimitRoundOptions): Promise<RateLimitRoundResult> {
	const {seed, durationMs, steps, gateways = DEFAULT_GATEWAYS, servers = DEFAULT_SERVERS} = options;
	const environment = await startEnvironment({seed, gateways, servers});
	try {
		const startMs = performance.now();
		const calling = sendAll({...options, environment, endMs: startMs + durationMs});
		for (const {atMs, run} of steps) {
			await sleep(Math.max(0, startMs + atMs - performance.now()));
			await run(environment);
		}

		const calls = await calling;
		await sleep(SETTLE_MS);
		const gatewayFailures = await environment.listGatewayFailures();
		const {executions, arrivalLog} = environment.fleet.records;
		const checked = {calls, arrivals: arrivalLog, disturbances: environment.disturbances};
		return {
			calls,
			uses: findRateLimitUse(checked),
			violations: [...gatewayFailures, ...checkRateLimits(checked), ...checkCalls({calls, executions})],
			arrivals: groupBy(arrivalLog, ({server}) => server),
			startMs,
			lines: environment.listLines('rate-limit-use'),
		};
	} finally {
		await environment.stop();
	}
}

interface SendAllOptions extends RunRateLimitRoundOptions {
	readonly environment: SoakEnvironment;
	readonly endMs: number;
}

/** Sends requests at a fixed rate, without waiting for responses to earlier ones. Resolves when all have ended. */
async function sendAll({environment, seed, endMs, objects = DEFAULT_OBJECTS, perSecond = DEFAULT_PER_SECOND, plays = ['whole'], callerRetries = 0}: SendAllOptions): Promise<readonly TracedCall[]> {
	const draw = createDraw(seed * CALLER_SEED_FACTOR);
	const calls: Array<Promise<readonly TracedCall[]>> = [];
	const startMs = performance.now();
	while (performance.now() < endMs) {
		calls.push(sendOne({
			environment, draw, path: `/read/${draw(objects)}`, plays: [plays[draw(plays.length)]!, plays[draw(plays.length)]!], callerRetries,
		}));
		await sleep(startMs + (calls.length * MILLISECONDS_PER_SECOND / perSecond) - performance.now());
	}

	const lists = await Promise.all(calls);
	return lists.flat();
}

interface SendOneOptions {
	readonly environment: SoakEnvironment;
	readonly draw: Draw;
	readonly path: string;
	readonly plays: readonly Play[];
	readonly callerRetries: number;
}

async function sendOne({environment, draw, path, plays, callerRetries}: SendOneOptions): Promise<readonly TracedCall[]> {
	const calls: TracedCall[] = [];
	let answer: CallerResponse;
	do {
		const {settings} = environment.members[draw(environment.members.length)]!;
		const sentAtMs = performance.now();
		answer = await callGateway({
			endpoint: endpointOf(settings.listen.callers), path, object: path, plays, timeLeftMs: TIME_LEFT_MS,
		});
		calls.push({
			method: 'GET', path, body: '', answer, instance: settings.instance, sentAtMs, answeredAtMs: performance.now(), timeLeftMs: TIME_LEFT_MS,
		});
		const retryAfterSeconds = Number(answer.headers['retry-after']);
		if (answer.status === 503 && retryAfterSeconds > 0) {
			await sleep(retryAfterSeconds * MILLISECONDS_PER_SECOND);
		}
	} while (answer.status === 503 && calls.length <= callerRetries);

	return calls;
}
