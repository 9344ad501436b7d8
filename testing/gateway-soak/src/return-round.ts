/** A round of returns of the store: after each, the operator changes something at once, while other faults affect gateways and the paths to servers. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, configuration, endpointOf, RETRY_BUDGET,
} from '@pomelopick/testing.gateway-fleet';
import {checkCalls} from './call-check.js';
import type {TracedCall, Violation} from './call-check.js';
import {createDraw} from './draw.js';
import type {Draw} from './draw.js';
import {serverName, startEnvironment} from './environment.js';
import type {SoakEnvironment} from './environment.js';
import {runFaultSeries} from './fault-series.js';
import {injectFault} from './faults.js';
import type {FaultName} from './faults.js';
import {nameLimits} from './limit-series.js';
import {checkRateLimits} from './rate-limit-check.js';
import {APPLIED_MS, checkReturns} from './return-check.js';
import type {OperatorChange, VersionLine} from './return-check.js';
import {checkRetries} from './retry-check.js';

const DEFAULT_GATEWAYS = 4;
const DEFAULT_SERVERS = 6;
const CALLERS = 6;
const OBJECTS = 24;
const TIME_LEFT_MS = 1500;
const CALLER_PAUSE_MS = 10;
const SETTLE_MS = 1500;
/** Time for which a change is judged once it must be applied, in milliseconds. */
const JUDGED_MS = 2500;
const FAULT_PAUSE_MS = 900;
const CALLER_SEED_FACTOR = 1000;
const LIMIT_SEED_FACTOR = 7;
const EVACUATED = 'north-b';

/** Faults beside the changes. None of them writes to the store. */
const otherFaults = ['kill', 'pause', 'terminate', 'reload', 'path-cut', 'path-delayed', 'path-silent', 'server-asks-pause'] as const satisfies readonly FaultName[];

/** A change, and how it is undone. */
interface AppliedChange extends Omit<OperatorChange, 'fromMs' | 'toMs'> {
	readonly undo: () => void;
}

interface ApplyOptions {
	readonly environment: SoakEnvironment;
	readonly draw: Draw;
	readonly version: number;
}

/** Changes to draw from. */
const changes: ReadonlyArray<(options: ApplyOptions) => AppliedChange> = [
	({environment: {fleet, serverPaths}}) => {
		fleet.write(`op/evacuate/${EVACUATED}`, {});
		return {
			description: `the evacuation of ${EVACUATED}`,
			closedServers: [...serverPaths.keys()].filter(number => number % 2 === 1).map(number => serverName(number)),
			version: undefined,
			undo() {
				fleet.platform.keyValues.delete({key: `op/evacuate/${EVACUATED}`});
			},
		};
	},
	({environment, draw}) => {
		const number = draw(environment.serverPaths.length);
		environment.setState({number, state: 'draining'});
		return {
			description: 'it began to drain', closedServers: [serverName(number)], version: undefined, undo() {
				environment.setState({number, state: 'ready'});
			},
		};
	},
	({environment, draw}) => {
		const number = draw(environment.serverPaths.length);
		environment.fleet.platform.keyValues.delete({key: `servers/${serverName(number)}`});
		return {
			description: 'its entry was removed', closedServers: [serverName(number)], version: undefined, undo() {
				environment.setState({number, state: 'ready'});
			},
		};
	},
	({environment: {fleet}, version}) => {
		fleet.write('op/config', configuration({version}));
		return {
			description: `configuration ${version}`, closedServers: [], version, undo() {/* Versions only grow. */},
		};
	},
];

/** Options of {@link runReturnRound}. */
export interface RunReturnRoundOptions {
	readonly seed: number;
	/** Number of returns, each followed by a change. */
	readonly returns: number;
	readonly gateways?: number;
	readonly servers?: number;
	/** Whether other faults and rate limits affect the round; true by default. */
	readonly hasOtherFaults?: boolean;
}

/** Outcome of a round. */
export interface ReturnRoundResult {
	readonly seed: number;
	readonly changes: readonly string[];
	readonly calls: number;
	readonly answered: number;
	readonly violations: readonly Violation[];
}

/** Runs one round and checks it. */
export async function runReturnRound({seed, returns, gateways = DEFAULT_GATEWAYS, servers = DEFAULT_SERVERS, hasOtherFaults = true}: RunReturnRoundOptions): Promise<ReturnRoundResult> {
	const environment = await startEnvironment({seed, gateways, servers});
	try {
		const stopped = new AbortController();
		const calls: TracedCall[] = [];
		const calling = Promise.all(Array.from({length: CALLERS}, async (_, index) => keepCalling({
			environment, draw: createDraw((seed * CALLER_SEED_FACTOR) + index), calls, signal: stopped.signal,
		})));
		const naming = hasOtherFaults && nameLimits({servers: environment.fleet.servers, draw: createDraw(seed * LIMIT_SEED_FACTOR), signal: stopped.signal});
		const draw = createDraw(seed);
		const made: OperatorChange[] = [];
		for (let number = 0; number < returns; number += 1) {
			made.push(await returnAndChange({
				environment, draw, version: number + 2, hasOtherFaults,
			}));
		}

		stopped.abort();
		await Promise.all([calling, naming]);
		await sleep(SETTLE_MS);
		const gatewayFailures = await environment.listGatewayFailures();
		const {executions, arrivalLog: arrivals} = environment.fleet.records;
		const {disturbances} = environment;
		return {
			seed,
			changes: made.map(({description, closedServers}) => [...closedServers, description].join(' ')),
			calls: calls.length,
			answered: calls.filter(({answer}) => answer.status === 200).length,
			violations: [
				...gatewayFailures,
				...checkCalls({calls, executions}),
				...checkRateLimits({calls, arrivals, disturbances}),
				...checkRetries({bounds: RETRY_BUDGET, sentAtMs: calls.map(({sentAtMs}) => sentAtMs), arrivals}),
				...checkReturns({
					changes: made, calls, arrivals, disturbances, versions: listVersions(environment), instances: environment.members.map(({settings}) => settings.instance),
				}),
			],
		};
	} finally {
		await environment.stop();
	}
}

/** Lets the store return, changes something at once, and undoes it after the time in which it is judged. */
async function returnAndChange({environment, draw, version, hasOtherFaults}: ApplyOptions & {readonly hasOtherFaults: boolean}): Promise<OperatorChange> {
	await injectFault({environment, name: 'store-returns-older', draw});
	const {undo, ...change} = changes[draw(changes.length)]!({environment, draw, version});
	const fromMs = performance.now();
	const toMs = fromMs + APPLIED_MS + JUDGED_MS;
	await runFaultSeries({
		next: () => hasOtherFaults && performance.now() < toMs ? otherFaults[draw(otherFaults.length)] : undefined,
		inject: async name => injectFault({environment, name, draw}),
		draw,
		pauseMs: FAULT_PAUSE_MS,
	});
	await sleep(Math.max(0, toMs - performance.now()));
	undo();
	return {...change, fromMs, toMs};
}

interface KeepCallingOptions {
	readonly environment: SoakEnvironment;
	readonly draw: Draw;
	readonly calls: TracedCall[];
	readonly signal: AbortSignal;
}

async function keepCalling({environment, draw, calls, signal}: KeepCallingOptions): Promise<void> {
	while (!signal.aborted) {
		const {settings: {instance, listen}} = environment.members[draw(environment.members.length)]!;
		const sentAtMs = performance.now();
		const path = `/read/${draw(OBJECTS)}`;
		const answer = await callGateway({
			endpoint: endpointOf(listen.callers), path, object: path, plays: ['whole'], timeLeftMs: TIME_LEFT_MS,
		});
		calls.push({
			method: 'GET', path, body: '', answer, instance, sentAtMs, answeredAtMs: performance.now(), timeLeftMs: TIME_LEFT_MS,
		});
		await sleep(CALLER_PAUSE_MS);
	}
}

/** Lists the configurations that came into force, by the log lines of all processes. */
function listVersions(environment: SoakEnvironment): readonly VersionLine[] {
	const offsetMs = Date.now() - performance.now();
	const starts = new Map<string, number>();
	return environment.listLines('started', 'routes-in-force').flatMap(({event, instance, subject, time}): readonly VersionLine[] => {
		const name = String(instance);
		if (event === 'started') {
			starts.set(name, (starts.get(name) ?? 0) + 1);
			return [];
		}

		return [{
			instance: name, process: starts.get(name) ?? 0, version: Number(subject), atMs: Date.parse(String(time)) - offsetMs,
		}];
	});
}
