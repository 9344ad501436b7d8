/** One round against a request that crashes every server that runs it, sent beside sound requests to one gateway after another. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, configuration, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {CallerAnswer, GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {FaultProxy} from '@pomelopick/testing.fault-proxy';
import {createDraw} from './draw.js';
import type {Draw} from './draw.js';

const GATEWAYS = 8;
const SERVERS = 18;
const CRASHING_PATH = '/read/crashing';
/** Object of all requests, so that all would be placed at one server. */
const OBJECT = 'shared';
const TIME_LEFT_MS = 3000;
const CRASH_INTERVAL_MS = 700;
/** Time before the first crash, in milliseconds. */
const SETTLE_MS = 500;
/** Time after the third crash from which on the gateways must have heard of it, in milliseconds. */
const HEARD_AFTER_MS = 3000;
/** Servers that the request may take down before it must be known. */
const KNOWN_AFTER = 3;
/** Time by which a fault of the store begins before the first crash, in milliseconds. */
const FAULT_LEAD_MS = 300;
/** Time from sending the crashing request to a gateway to the kill of that gateway, in milliseconds. */
const KILL_DELAY_MS = 5;
/** Gateways that the store turns away. */
const TURNED_AWAY = 3;
const MILLISECONDS_PER_SECOND = 1000;
const OK = 200;

const domains = ['north-a', 'north-b', 'south-a'] as const;
const serverDomains = ['north-a', 'north-b'] as const;

/** What goes wrong beside the crashes. */
export type CrashFault = 'store-away' | 'some-turned-away' | 'gateways-killed';

/** Options of {@link runCrashRound}. */
export interface RunCrashRoundOptions {
	readonly seed: number;
	/** Time for which requests are sent, in milliseconds. */
	readonly durationMs: number;
	/** Different sound requests, and how many are sent in a second in all. */
	readonly soundPaths: number;
	readonly soundPerSecond: number;
	readonly fault?: CrashFault;
	/** Time for which the store fails, in milliseconds. */
	readonly faultMs?: number;
}

/** Outcome of a round. */
export interface CrashRoundResult {
	readonly seed: number;
	/** Servers that the request took down, and how many of them long after it had to be known. */
	readonly crashes: number;
	readonly lateCrashes: number;
	/** Sound requests by the status of their answer; 0 stands for a connection that ended without one. */
	readonly soundStatuses: Readonly<Record<number, number>>;
	/** Sound requests that were refused as crashing ones. */
	readonly soundQuarantined: number;
	/** Requests that any gateway convicted. */
	readonly convicted: number;
	readonly executions: GatewayFleet['records']['executions'];
	/** Log lines of the gateways about crashes. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

interface Member {
	readonly settings: GatewaySettingsInput;
	readonly storePath: FaultProxy;
	process: GatewayProcess;
}

/** Plays one round. */
export async function runCrashRound(options: RunCrashRoundOptions): Promise<CrashRoundResult> {
	const {seed, durationMs, soundPaths, soundPerSecond} = options;
	const fleet = await startGatewayFleet({servers: []});
	for (let number = 0; number < SERVERS; number += 1) {
		await fleet.addRestartingServer({name: `server-${number}`, failureDomain: serverDomains[number % serverDomains.length]!});
	}

	const members = await Promise.all(Array.from({length: GATEWAYS}, async (_, number) => startMember({fleet, number, seed})));
	const endedLines: Array<Readonly<Record<string, unknown>>> = [];
	try {
		fleet.write('op/config', configuration({version: 2}));
		await until(async () => {
			const ready = await Promise.all(members.map(async ({settings}) => isReady(settings)));
			return ready.every(Boolean);
		});
		const draw = createDraw(seed);
		const endMs = performance.now() + SETTLE_MS + durationMs;
		const [sound] = await Promise.all([
			sendSound({
				members, draw, endMs, paths: soundPaths, perSecond: soundPerSecond,
			}),
			sendCrashing({
				members, endMs, async afterSend(member) {
					if (options.fault === 'gateways-killed') {
						await restart({member, endedLines});
					}
				},
			}),
			bringFault({members, fleet, options}),
		]);
		const lines = [...endedLines, ...members.flatMap(({process}) => process.lines)];
		return judge({
			seed, fleet, sound, lines,
		});
	} finally {
		await Promise.all(members.map(async ({process}) => process.stop()));
		await Promise.all(members.map(async ({storePath}) => storePath.stop()));
		await fleet.stop();
	}
}

interface JudgeOptions {
	readonly seed: number;
	readonly fleet: GatewayFleet;
	readonly sound: readonly CallerAnswer[];
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

function judge({seed, fleet, sound, lines}: JudgeOptions): CrashRoundResult {
	const runs = fleet.records.executions.filter(({path}) => path === CRASHING_PATH);
	const knownAtMs = (runs[KNOWN_AFTER - 1]?.atMs ?? Number.POSITIVE_INFINITY) + HEARD_AFTER_MS;
	const soundStatuses: Record<number, number> = {};
	for (const {status} of sound) {
		soundStatuses[status] = (soundStatuses[status] ?? 0) + 1;
	}

	const quarantine = lines.filter(({event}) => event === 'quarantine');
	return {
		seed,
		crashes: runs.length,
		lateCrashes: runs.filter(({atMs}) => atMs > knownAtMs).length,
		soundStatuses,
		soundQuarantined: sound.filter(({status, text}) => status !== OK && text.includes('request-quarantined')).length,
		convicted: new Set(quarantine.filter(({detail}) => detail === 'request convicted').map(({fingerprint}) => fingerprint)).size,
		executions: runs,
		lines: quarantine,
	};
}

async function startMember({fleet, number, seed}: {readonly fleet: GatewayFleet; readonly number: number; readonly seed: number}): Promise<Member> {
	const storePath = await startFaultProxy({target: fleet.platform.endpoint, seed: seed + number});
	const {address, port} = storePath.endpoint;
	const own = await fleet.settings({instance: `gateway-${number}`, failureDomain: domains[number % domains.length]});
	const settings = {...own, store: `${address}:${port}`};
	return {settings, storePath, process: await startGatewayProcess({settings})};
}

/** Kills a gateway and starts it again. */
async function restart({member, endedLines}: {readonly member: Member; readonly endedLines: Array<Readonly<Record<string, unknown>>>}): Promise<void> {
	await sleep(KILL_DELAY_MS);
	const {process, settings} = member;
	process.signal('SIGKILL');
	await process.exited;
	endedLines.push(...process.lines);
	member.process = await startGatewayProcess({settings});
}

interface SendCrashingOptions {
	readonly members: readonly Member[];
	readonly endMs: number;
	readonly afterSend: (member: Member) => Promise<void>;
}

/** Sends the crashing request to one gateway after another. */
async function sendCrashing({members, endMs, afterSend}: SendCrashingOptions): Promise<void> {
	await sleep(SETTLE_MS);
	const sending: Array<Promise<unknown>> = [];
	for (let count = 0; performance.now() < endMs; count += 1) {
		const member = members[count % members.length]!;
		sending.push(
			callGateway({
				endpoint: endpointOf(member.settings.listen.callers), path: CRASHING_PATH, object: OBJECT, plays: ['crash'], timeLeftMs: TIME_LEFT_MS,
			}),
			afterSend(member),
		);
		await sleep(CRASH_INTERVAL_MS);
	}

	await Promise.all(sending);
}

interface SendSoundOptions {
	readonly members: readonly Member[];
	readonly draw: Draw;
	readonly endMs: number;
	readonly paths: number;
	readonly perSecond: number;
}

async function sendSound({members, draw, endMs, paths, perSecond}: SendSoundOptions): Promise<readonly CallerAnswer[]> {
	const sending: Array<Promise<CallerAnswer>> = [];
	if (perSecond === 0) {
		return [];
	}

	while (performance.now() < endMs) {
		const {settings} = members[draw(members.length)]!;
		sending.push(callGateway({
			endpoint: endpointOf(settings.listen.callers), path: `/read/sound-${draw(paths)}`, object: OBJECT, plays: ['slow'], timeLeftMs: TIME_LEFT_MS,
		}));
		await sleep(MILLISECONDS_PER_SECOND / perSecond);
	}

	return Promise.all(sending);
}

async function bringFault({members, fleet, options: {fault, faultMs = 0}}: {readonly members: readonly Member[]; readonly fleet: GatewayFleet; readonly options: RunCrashRoundOptions}): Promise<void> {
	if (fault !== 'store-away' && fault !== 'some-turned-away') {
		return;
	}

	const cut = fault === 'some-turned-away' ? members.slice(0, TURNED_AWAY) : [];
	await sleep(SETTLE_MS - FAULT_LEAD_MS);
	setStore({
		fleet, cut, isAway: true, isWhole: fault === 'store-away',
	});
	await sleep(faultMs);
	setStore({
		fleet, cut, isAway: false, isWhole: fault === 'store-away',
	});
}

function setStore({fleet, cut, isAway, isWhole}: {readonly fleet: GatewayFleet; readonly cut: readonly Member[]; readonly isAway: boolean; readonly isWhole: boolean}): void {
	for (const {storePath} of cut) {
		storePath.set({cut: isAway});
	}

	if (isWhole) {
		fleet.platform.faults.outage = isAway;
	}
}
