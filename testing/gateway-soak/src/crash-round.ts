/** A round that sends a request that crashes every server that runs it to one gateway after another, beside sound requests, which crash no server. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, configuration, endpointOf, isReady, startGatewayFleet, until,
} from '@pomelopick/testing.gateway-fleet';
import type {CallerResponse, GatewayFleet} from '@pomelopick/testing.gateway-fleet';
import {crashingCall, crashingPlays} from './crash-endings.js';
import type {CrashEnding} from './crash-endings.js';
import {createDraw} from './draw.js';
import type {Draw} from './draw.js';
import {RoundGateway} from './round-gateway.js';
import {UnreachableAddresses} from './unreachable-addresses.js';

const GATEWAYS = 8;
const SERVERS = 18;
const CRASHING_PATH = '/read/crashing';
/** Object of all requests, so that affinity places all of them at the same server. */
const OBJECT = 'shared';
const TIME_LEFT_MS = 3000;
const CRASH_INTERVAL_MS = 700;
/** Time before the crashing request is first sent, in milliseconds. */
const SETTLE_MS = 500;
/** Time after the third crash by which all gateways must have received the quarantine, in milliseconds. */
const QUARANTINE_SHARING_MS = 3000;
/** Number of servers that the request may crash before it must be quarantined. */
const CRASHES_BEFORE_QUARANTINE = 3;
/** Time before the first crash at which a fault of the store begins, in milliseconds. */
const FAULT_LEAD_MS = 300;
/** Number of gateways that are cut off from the store. */
const DISCONNECTED_GATEWAYS = 3;
/** Callers of sound requests of which one leaves, and the time after which it does, in milliseconds. */
const CALLERS_PER_LEAVER = 3;
const LEAVE_MS = 100;
/** Interval at which servers crash by themselves, in milliseconds. */
const SERVER_CRASH_INTERVAL_MS = 1200;
/** Number of servers that fall silent at once. */
const SILENT_SERVERS = 6;
const MILLISECONDS_PER_SECOND = 1000;
const OK = 200;

const serverDomains = ['north-a', 'north-b'] as const;

/** Fault that is injected in addition to the crashes. */
export type CrashFault = 'store-away' | 'some-turned-away' | 'gateways-killed' | 'gateways-restarted' | 'servers-silent' | 'servers-crash';

/** Options of {@link runCrashRound}. */
export interface RunCrashRoundOptions {
	readonly seed: number;
	/** Time for which requests are sent, in milliseconds. */
	readonly durationMs: number;
	/** Number of different sound requests, and how many are sent per second in total. */
	readonly soundPaths: number;
	readonly soundPerSecond: number;
	/** Whether every third caller of a sound request leaves before its response. */
	readonly callersLeave?: boolean;
	/** How the end of a server shows; `reset` by default. */
	readonly ending?: CrashEnding;
	readonly fault?: CrashFault;
	/** Duration of the fault of the store, in milliseconds. */
	readonly faultMs?: number;
	/** Path of the compiled main module of another build, which every second gateway runs. */
	readonly otherMain?: string;
}

/** Outcome of a round. */
export interface CrashRoundResult {
	readonly seed: number;
	/** Number of servers that the request crashed. */
	readonly crashes: number;
	/** Number of its runs, with a crash or without, after it had to be quarantined. */
	readonly lateRuns: number;
	/** Number of sound requests by response status. 0 means that the connection ended without a response. */
	readonly soundStatuses: Readonly<Record<number, number>>;
	/** Number of sound requests that were refused as quarantined. */
	readonly soundQuarantined: number;
	/** Number of distinct requests that any gateway quarantined. */
	readonly convicted: number;
	readonly executions: GatewayFleet['records']['executions'];
	/** Log lines of the gateways about crashes. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

/** Runs one round. */
export async function runCrashRound(options: RunCrashRoundOptions): Promise<CrashRoundResult> {
	const {seed, durationMs, soundPaths, soundPerSecond, otherMain} = options;
	const fleet = await startGatewayFleet({servers: []});
	const unreachable = new UnreachableAddresses({listGateways: () => gateways});
	for (let number = 0; number < SERVERS; number += 1) {
		await fleet.addRestartingServer({name: `server-${number}`, failureDomain: serverDomains[number % serverDomains.length]!, onReachable: unreachable.set});
	}

	const gateways: readonly RoundGateway[] = await Promise.all(Array.from({length: GATEWAYS}, async (_, number) => RoundGateway.start({
		fleet, number, seed, otherMain,
	})));
	try {
		fleet.write('op/config', configuration({version: 2}));
		await until(async () => {
			const ready = await Promise.all(gateways.map(async ({settings}) => isReady(settings)));
			return ready.every(Boolean);
		});
		const draw = createDraw(seed);
		const endMs = performance.now() + SETTLE_MS + durationMs;
		const [sound] = await Promise.all([
			sendSound({
				gateways, draw, endMs, paths: soundPaths, perSecond: soundPerSecond, callersLeave: options.callersLeave ?? false,
			}),
			sendCrashing({
				gateways, endMs, ending: options.ending ?? 'reset', async afterSend(gateway) {
					if (options.fault === 'gateways-killed') {
						await gateway.kill();
					}
				},
			}),
			restartInTurn({
				gateways, endMs, isOn: options.fault === 'gateways-restarted', onStart() {
					unreachable.apply();
				},
			}),
			injectFault({gateways, fleet, options}),
			crashServers({
				fleet, draw, endMs, isOn: options.fault === 'servers-crash',
			}),
		]);
		return summarizeRound({
			seed, fleet, sound, lines: gateways.flatMap(({lines}) => lines),
		});
	} finally {
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		await fleet.stop();
	}
}

interface SummarizeRoundOptions {
	readonly seed: number;
	readonly fleet: GatewayFleet;
	readonly sound: readonly CallerResponse[];
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

function summarizeRound({seed, fleet, sound, lines}: SummarizeRoundOptions): CrashRoundResult {
	const runs = fleet.records.executions.filter(({path}) => path === CRASHING_PATH);
	const crashes = runs.filter(({play}) => crashingPlays.has(play));
	const quarantineDueAtMs = (crashes[CRASHES_BEFORE_QUARANTINE - 1]?.atMs ?? Number.POSITIVE_INFINITY) + QUARANTINE_SHARING_MS;
	const soundStatuses: Record<number, number> = {};
	for (const {status} of sound) {
		soundStatuses[status] = (soundStatuses[status] ?? 0) + 1;
	}

	const quarantine = lines.filter(({event}) => event === 'quarantine');
	return {
		seed,
		crashes: crashes.length,
		lateRuns: runs.filter(({atMs}) => atMs > quarantineDueAtMs).length,
		soundStatuses,
		soundQuarantined: sound.filter(({status, text}) => status !== OK && text.includes('request-quarantined')).length,
		convicted: new Set(quarantine.filter(({detail}) => detail === 'request convicted').map(({fingerprint}) => fingerprint)).size,
		executions: runs,
		lines: quarantine,
	};
}

/** Stops and starts one gateway after another until the end. */
async function restartInTurn({gateways, endMs, isOn, onStart}: {
	readonly gateways: readonly RoundGateway[];
	readonly endMs: number;
	readonly isOn: boolean;
	readonly onStart: () => void;
}): Promise<void> {
	if (!isOn) {
		return;
	}

	for (let count = 0; performance.now() < endMs; count += 1) {
		const gateway = gateways[count % gateways.length]!;
		await gateway.restart();
		onStart();
		await until(async () => isReady(gateway.settings));
	}
}

interface SendCrashingOptions {
	readonly gateways: readonly RoundGateway[];
	readonly endMs: number;
	readonly ending: CrashEnding;
	readonly afterSend: (gateway: RoundGateway) => Promise<void>;
}

/** Sends the crashing request to one gateway after another. */
async function sendCrashing({gateways, endMs, ending, afterSend}: SendCrashingOptions): Promise<void> {
	if (ending === 'none') {
		return;
	}

	await sleep(SETTLE_MS);
	const sending: Array<Promise<unknown>> = [];
	for (let count = 0; performance.now() < endMs; count += 1) {
		const gateway = gateways[count % gateways.length]!;
		sending.push(
			callGateway({
				endpoint: endpointOf(gateway.settings.listen.callers), path: CRASHING_PATH, object: OBJECT, timeLeftMs: TIME_LEFT_MS, ...crashingCall({ending, count}),
			}),
			afterSend(gateway),
		);
		await sleep(CRASH_INTERVAL_MS);
	}

	await Promise.all(sending);
}

interface SendSoundOptions {
	readonly gateways: readonly RoundGateway[];
	readonly draw: Draw;
	readonly endMs: number;
	readonly paths: number;
	readonly perSecond: number;
	readonly callersLeave: boolean;
}

async function sendSound({gateways, draw, endMs, paths, perSecond, callersLeave}: SendSoundOptions): Promise<readonly CallerResponse[]> {
	const sending: Array<Promise<CallerResponse>> = [];
	if (perSecond === 0) {
		return [];
	}

	while (performance.now() < endMs) {
		const {settings} = gateways[draw(gateways.length)]!;
		sending.push(callGateway({
			endpoint: endpointOf(settings.listen.callers), path: `/read/sound-${draw(paths)}`, object: OBJECT, plays: ['slow'], timeLeftMs: TIME_LEFT_MS, ...(callersLeave && draw(CALLERS_PER_LEAVER) === 0 && {signal: AbortSignal.timeout(LEAVE_MS)}),
		}));
		await sleep(MILLISECONDS_PER_SECOND / perSecond);
	}

	return Promise.all(sending);
}

async function injectFault({gateways, fleet, options: {fault, faultMs = 0}}: {
	readonly gateways: readonly RoundGateway[]; readonly fleet: GatewayFleet; readonly options: RunCrashRoundOptions;
}): Promise<void> {
	if (fault === 'servers-silent') {
		await sleep(SETTLE_MS);
		for (const server of fleet.servers.slice(0, SILENT_SERVERS)) {
			server.fallSilent();
		}
	}

	if (fault !== 'store-away' && fault !== 'some-turned-away') {
		return;
	}

	const cut = fault === 'some-turned-away' ? gateways.slice(0, DISCONNECTED_GATEWAYS) : [];
	await sleep(SETTLE_MS - FAULT_LEAD_MS);
	setStoreAvailability({
		fleet, cut, isUnavailable: true, affectsAll: fault === 'store-away',
	});
	await sleep(faultMs);
	setStoreAvailability({
		fleet, cut, isUnavailable: false, affectsAll: fault === 'store-away',
	});
}

/** Lets one server after another crash by itself until the end. */
async function crashServers({fleet, draw, endMs, isOn}: {readonly fleet: GatewayFleet; readonly draw: Draw; readonly endMs: number; readonly isOn: boolean}): Promise<void> {
	if (!isOn) {
		return;
	}

	while (performance.now() < endMs) {
		await sleep(SERVER_CRASH_INTERVAL_MS);
		fleet.servers[draw(SERVERS)]!.crash();
	}
}

function setStoreAvailability({fleet, cut, isUnavailable, affectsAll}: {
	readonly fleet: GatewayFleet; readonly cut: readonly RoundGateway[]; readonly isUnavailable: boolean; readonly affectsAll: boolean;
}): void {
	for (const {storePath} of cut) {
		storePath.set({cut: isUnavailable});
	}

	if (affectsAll) {
		fleet.platform.faults.outage = isUnavailable;
	}
}
