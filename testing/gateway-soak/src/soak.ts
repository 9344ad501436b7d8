/** One round: callers that use gateways all the while, and faults drawn from a seed, which come in series and overlap. */
import {setTimeout as sleep} from 'node:timers/promises';
import {callGateway, endpointOf} from '@pomelopick/testing.gateway-fleet';
import type {Play} from '@pomelopick/testing.gateway-fleet';
import {createDraw} from './draw.js';
import type {Draw} from './draw.js';
import {bringSeries} from './fault-series.js';
import {judgeCalls} from './judge.js';
import type {TracedCall, Violation} from './judge.js';
import {judgeNotices} from './notice-judge.js';
import {faultNames, startWorld} from './world.js';
import type {FaultName, World} from './world.js';

const DEFAULT_GATEWAYS = 3;
const DEFAULT_SERVERS = 5;
const OBJECTS = 12;
const FAULT_PAUSE_MS = 350;
/** Time in which late runs of requests that were given up still show, in milliseconds. */
const SETTLE_MS = 1500;
const CALLER_PAUSE_MS = 5;
/** Seeds of the callers lie apart from those of the faults by this factor. */
const CALLER_SEED_FACTOR = 1000;

/** How arrivals are played: mostly as a sound server would. */
const plays: readonly Play[] = [
	'whole', 'whole', 'whole', 'whole', 'whole', 'slow', 'shed', 'cut', 'reset', 'late-reset', 'unframed', 'unframed-reset', 'extra', 'unstamped', 'other-id', 'failure', 'refuse-unstamped', 'silent',
];

/** Options of {@link runRound}. */
export interface RunRoundOptions {
	readonly seed: number;
	/** Faults that are brought about. */
	readonly faults: number;
	/** Callers at the same time. */
	readonly callers: number;
	readonly gateways?: number;
	readonly servers?: number;
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

/** Plays one round and judges it. */
export async function runRound({seed, faults: count, callers, gateways = DEFAULT_GATEWAYS, servers = DEFAULT_SERVERS}: RunRoundOptions): Promise<RoundResult> {
	const world = await startWorld({seed, gateways, servers});
	try {
		const stopped = new AbortController();
		const calls: TracedCall[] = [];
		const calling = Promise.all(Array.from({length: callers}, async (_, index) => keepCalling({
			world, draw: createDraw((seed * CALLER_SEED_FACTOR) + index), calls, signal: stopped.signal,
		})));
		const draw = createDraw(seed);
		const faults = await bringSeries({
			next: done => done < count ? faultNames[draw(faultNames.length)] : undefined,
			bring: async name => world.bringAbout({name, draw}),
			draw,
			pauseMs: FAULT_PAUSE_MS,
		});
		const stuck = await world.listStuck();
		stopped.abort();
		await calling;
		await sleep(SETTLE_MS);
		const {executions, arrivalLog} = world.fleet.records;
		return {
			seed,
			faults,
			calls: calls.length,
			answered: calls.filter(({answer}) => answer.status === 200).length,
			executions: executions.length,
			violations: [...stuck, ...judgeCalls({calls, executions}), ...judgeNotices({calls, arrivals: arrivalLog, disturbances: world.disturbances})],
		};
	} finally {
		await world.stop();
	}
}

interface KeepCallingOptions {
	readonly world: World;
	readonly draw: Draw;
	readonly calls: TracedCall[];
	readonly signal: AbortSignal;
}

async function keepCalling({world, draw, calls, signal}: KeepCallingOptions): Promise<void> {
	while (!signal.aborted) {
		const {settings} = world.members[draw(world.members.length)]!;
		const sentAtMs = performance.now();
		const method = draw(3) === 0 ? 'POST' : 'GET';
		const path = `/${method === 'POST' ? 'write' : 'read'}/${draw(OBJECTS)}?n=${draw(1000)}`;
		const body = method === 'POST' ? `body ${draw(1000)}` : '';
		const answer = await callGateway({
			endpoint: endpointOf(settings.listen.callers),
			method,
			path,
			...(body !== '' && {body}),
			object: path,
			plays: [plays[draw(plays.length)]!, plays[draw(plays.length)]!],
			timeLeftMs: 500 + draw(1500),
		});
		calls.push({
			method, path, body, answer, instance: settings.instance, sentAtMs, answeredAtMs: performance.now(),
		});
		await sleep(CALLER_PAUSE_MS);
	}
}
