/** A soak round: callers send requests to gateways while overlapping faults, drawn from a seed, are injected. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, MAX_ATTEMPTS, RETRY_BUDGET,
} from '@pomelopick/testing.gateway-fleet';
import type {Play} from '@pomelopick/testing.gateway-fleet';
import {createDraw} from './draw.js';
import type {Draw} from './draw.js';
import {runFaultSeries} from './fault-series.js';
import {checkCalls} from './call-check.js';
import type {TracedCall, Violation} from './call-check.js';
import {checkAttempts, checkTimes} from './budget-check.js';
import {keepHardCalling} from './hard-callers.js';
import {Keyring} from './keyring.js';
import {checkNotices} from './notice-check.js';
import {checkOrganisations} from './organisation-check.js';
import {checkRetries} from './retry-check.js';
import {startEnvironment} from './environment.js';
import {faultNames, injectFault} from './faults.js';
import {nameLimits} from './limit-series.js';
import {checkRateLimits} from './rate-limit-check.js';
import type {SoakEnvironment} from './environment.js';
import type {FaultName} from './faults.js';

const DEFAULT_GATEWAYS = 3;
const DEFAULT_SERVERS = 5;
const OBJECTS = 12;
const FAULT_PAUSE_MS = 350;
/** Time in which aborted requests may still be executed late, in milliseconds. */
const SETTLE_MS = 1500;
const CALLER_PAUSE_MS = 5;
/** Factors that keep the seeds of the callers, of the rate limits, of the hard callers and of the keys apart from those of the faults. */
const CALLER_SEED_FACTOR = 1000;
const LIMIT_SEED_FACTOR = 7;
const HARD_CALLER_SEED_FACTOR = 77;
const KEY_SEED_FACTOR = 1301;
/** Callers that use connections in unusual ways. */
const HARD_CALLERS = 3;
/** Number of servers that may name a rate limit at the same time. */
const LIMIT_SERIES = 2;

/** Plays to draw from. `whole`, a correct response, is listed several times, so that it is drawn more often than any fault. */
const plays: readonly Play[] = [
	'whole',
	'whole',
	'whole',
	'whole',
	'whole',
	'slow',
	'shed',
	'cut',
	'reset',
	'late-reset',
	'unframed',
	'unframed-reset',
	'extra',
	'surplus-bytes',
	'endless-head',
	'unstamped',
	'other-id',
	'failure',
	'refuse-unstamped',
	'silent',
];

/** Options of {@link runRound}. */
export interface RunRoundOptions {
	readonly seed: number;
	/** Number of faults that are injected. */
	readonly faults: number;
	/** Number of concurrent callers. */
	readonly callers: number;
	readonly gateways?: number;
	readonly servers?: number;
	/** Faults to draw from; all by default. */
	readonly names?: readonly FaultName[];
}

/** Outcome of a round. */
export interface RoundResult {
	readonly seed: number;
	readonly faults: readonly FaultName[];
	readonly calls: number;
	readonly answered: number;
	readonly executions: number;
	readonly violations: readonly Violation[];
}

/** Runs one round and checks it. */
export async function runRound({seed, faults: count, callers, gateways = DEFAULT_GATEWAYS, servers = DEFAULT_SERVERS, names = faultNames}: RunRoundOptions): Promise<RoundResult> {
	const keyring = new Keyring();
	const environment = await startEnvironment({
		seed, gateways, servers, keyring,
	});
	try {
		const stopped = new AbortController();
		const calls: TracedCall[] = [];
		const calling = Promise.all(Array.from({length: callers}, async (_, index) => keepCalling({
			environment, keyring, draw: createDraw((seed * CALLER_SEED_FACTOR) + index), drawKey: createDraw((seed * KEY_SEED_FACTOR) + index), calls, signal: stopped.signal,
		})));
		const naming = Promise.all(Array.from({length: LIMIT_SERIES}, async (_, index) => nameLimits({
			servers: environment.fleet.servers, draw: createDraw((seed * LIMIT_SEED_FACTOR) + index), signal: stopped.signal,
		})));
		const hardCalling = Promise.all(Array.from({length: HARD_CALLERS}, async (_, index) => keepHardCalling({
			members: environment.members, key: keyring.periods[index % 2]!.key, draw: createDraw((seed * HARD_CALLER_SEED_FACTOR) + index), calls, signal: stopped.signal,
		})));
		const draw = createDraw(seed);
		const faults = await runFaultSeries({
			next: done => done < count ? names[draw(names.length)] : undefined,
			inject: async name => injectFault({environment, name, draw}),
			draw,
			pauseMs: FAULT_PAUSE_MS,
		});
		const gatewayFailures = await environment.listGatewayFailures();
		stopped.abort();
		await Promise.all([calling, hardCalling, naming]);
		await sleep(SETTLE_MS);
		const {executions, arrivalLog} = environment.fleet.records;
		const judged = {
			calls, arrivals: arrivalLog, executions, disturbances: environment.disturbances, maxAttempts: MAX_ATTEMPTS,
		};
		return {
			seed,
			faults,
			calls: calls.length,
			answered: calls.filter(({answer}) => answer.status === 200).length,
			executions: executions.length,
			violations: [
				...gatewayFailures,
				...checkCalls({calls, executions}),
				...checkOrganisations({...judged, periods: keyring.periods}),
				...checkNotices(judged),
				...checkRateLimits(judged),
				...checkAttempts(judged),
				...checkTimes(judged),
				...checkRetries({bounds: RETRY_BUDGET, sentAtMs: calls.map(({sentAtMs}) => sentAtMs), arrivals: arrivalLog}),
			],
		};
	} finally {
		await environment.stop();
	}
}

interface KeepCallingOptions {
	readonly environment: SoakEnvironment;
	readonly keyring: Keyring;
	readonly draw: Draw;
	readonly drawKey: Draw;
	readonly calls: TracedCall[];
	readonly signal: AbortSignal;
}

async function keepCalling({environment, keyring, draw, drawKey, calls, signal}: KeepCallingOptions): Promise<void> {
	while (!signal.aborted) {
		const {settings} = environment.members[draw(environment.members.length)]!;
		const sentAtMs = performance.now();
		const method = draw(3) === 0 ? 'POST' : 'GET';
		const path = `/${method === 'POST' ? 'write' : 'read'}/${draw(OBJECTS)}?n=${draw(1000)}`;
		const body = method === 'POST' ? `body ${draw(1000)}` : '';
		const timeLeftMs = 500 + draw(1500);
		const key = keyring.draw(drawKey);
		const answer = await callGateway({
			endpoint: endpointOf(settings.listen.callers),
			method,
			path,
			...(body !== '' && {body}),
			object: path,
			key,
			plays: [plays[draw(plays.length)]!, plays[draw(plays.length)]!],
			timeLeftMs,
		});
		calls.push({
			method, path, body, answer, key, instance: settings.instance, sentAtMs, answeredAtMs: performance.now(), timeLeftMs,
		});
		await sleep(CALLER_PAUSE_MS);
	}
}
