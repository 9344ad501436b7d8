/** Faults that a soak round injects into its environment from outside. */
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {FaultProxy, PathFaults} from '@pomelopick/testing.fault-proxy';
import {endpointOf} from '@pomelopick/testing.gateway-fleet';
import type {Draw} from './draw.js';
import {serverName} from './environment.js';
import type {Member, SoakEnvironment} from './environment.js';
import {drawOddEntry} from './odd-entries.js';

/** Range of the random time added to the minimum duration of a fault, in milliseconds. */
const FAULT_JITTER_MS = 1200;
const MIN_FAULT_MS = 100;
const SLOW_STORE_MS = 300;
const MIN_PAUSE_MS = 1000;
/** Maximum number of odd entries that are written at once. */
const MAX_ODD_ENTRIES = 60;
const KILLS = 3;
/** Number of addresses on which a gateway listens. */
const LISTENERS = 5;

/** Names of the faults. */
export const faultNames = [
	'kill',
	'kill-series',
	'port-taken',
	'pause',
	'terminate',
	'reload',
	'store-outage',
	'store-silent',
	'store-slow',
	'store-forgets',
	'store-returns-older',
	'odd-entries',
	'store-path-cut',
	'store-path-silent',
	'path-cut',
	'path-silent',
	'path-delayed',
	'server-leaves',
	'server-says-it-leaves',
	'server-asks-pause',
	'server-accepts-late',
	'configuration',
] as const;

/** Name of a fault. */
export type FaultName = typeof faultNames[number];

/** Options of {@link injectFault}. */
export interface InjectFaultOptions {
	readonly environment: SoakEnvironment;
	readonly name: FaultName;
	readonly draw: Draw;
}

/** Injects a fault. Resolves when it has ended. */
export async function injectFault({environment, name, draw}: InjectFaultOptions): Promise<void> {
	const member = environment.members[draw(environment.members.length)]!;
	const number = draw(environment.serverPaths.length);
	const proxy = environment.serverPaths[number]!;
	const durationMs = MIN_FAULT_MS + draw(FAULT_JITTER_MS);
	const fromMs = performance.now();
	const {faults, keyValues} = environment.fleet.platform;
	const injectors: Record<FaultName, () => Promise<void>> = {
		async kill() {
			member.process.signal('SIGKILL');
		},
		async 'kill-series'() {
			for (let kill = 0; kill < KILLS; kill += 1) {
				member.process.signal('SIGKILL');
				await sleep(durationMs);
			}
		},
		'port-taken': async () => takePort({member, port: draw(LISTENERS), durationMs}),
		async terminate() {
			member.process.signal('SIGTERM');
		},
		async reload() {
			member.process.signal('SIGHUP');
		},
		async pause() {
			member.process.signal('SIGSTOP');
			await sleep(durationMs);
			member.process.signal('SIGCONT');
		},
		async 'store-outage'() {
			faults.outage = true;
			await sleep(durationMs);
			faults.outage = false;
		},
		async 'store-silent'() {
			faults.silent = true;
			await sleep(durationMs);
			faults.silent = false;
		},
		async 'store-slow'() {
			faults.slownessMs = SLOW_STORE_MS;
			await sleep(durationMs);
			faults.slownessMs = 0;
		},
		async 'store-forgets'() {
			keyValues.compactHistory();
		},
		async 'store-returns-older'() {
			const copy = keyValues.copy();
			await sleep(durationMs);
			faults.outage = true;
			await sleep(MIN_FAULT_MS + draw(FAULT_JITTER_MS));
			keyValues.returnTo(copy);
			faults.outage = false;
		},
		'odd-entries': async () => writeOddEntries({environment, draw, durationMs}),
		'store-path-cut': async () => applyPathFaults({path: member.storePath, faults: {cut: true}, durationMs}),
		async 'store-path-silent'() {
			silenceOpenConnections(member.storePath);
		},
		'path-cut': async () => applyPathFaults({path: proxy, faults: {cut: true}, durationMs}),
		async 'path-silent'() {
			silenceOpenConnections(proxy);
		},
		'path-delayed': async () => applyPathFaults({path: proxy, faults: {delayMs: 100, jitterMs: 100}, durationMs}),
		'server-leaves': async () => environment.drainAndReturn({number: draw(environment.serverPaths.length), durationMs}),
		'server-says-it-leaves': async () => environment.announceLeavingAndRestart({number, durationMs}),
		async 'server-asks-pause'() {
			environment.fleet.servers[number]!.requestPause(MIN_PAUSE_MS + durationMs);
		},
		'server-accepts-late': async () => environment.acceptLate({number, durationMs}),
		async configuration() {
			environment.changeConfiguration(draw);
		},
	};
	await injectors[name]();
	environment.disturbances.push({
		subject: name.startsWith('path-') ? serverName(number) : member.settings.instance, fault: name, fromMs, toMs: performance.now(),
	});
}

/** Writes odd entries among those of the servers, some over those of living ones, and sets the entries right again. */
async function writeOddEntries({environment, draw, durationMs}: Omit<InjectFaultOptions, 'name'> & {readonly durationMs: number}): Promise<void> {
	const {keyValues} = environment.fleet.platform;
	const count = 1 + draw(1 + draw(MAX_ODD_ENTRIES));
	const entries = Array.from({length: count}, () => drawOddEntry({draw, livingIds: environment.fleet.servers.map(({name}) => name)}));
	for (const entry of entries) {
		keyValues.put(entry);
	}

	await sleep(durationMs);
	for (const {key} of entries) {
		keyValues.delete({key});
	}

	environment.registerServers();
}

/** Kills a gateway and occupies one of its ports for a time, during which it is started again. */
async function takePort({member, port, durationMs}: {readonly member: Member; readonly port: number; readonly durationMs: number}): Promise<void> {
	const {address, port: taken} = endpointOf(Object.values(member.settings.listen)[port]!);
	const occupant = createServer(socket => {
		socket.destroy();
	});
	member.beforeRestart = async () => {
		await new Promise<void>(resolve => {
			// The port may still be taken by an earlier fault.
			occupant.once('error', () => {
				resolve();
			});
			occupant.listen(taken, address, resolve);
		});
		setTimeout(() => {
			occupant.close();
		}, durationMs);
	};

	member.process.signal('SIGKILL');
	await sleep(durationMs);
}

const noPathFaults: Partial<PathFaults> = {cut: false, delayMs: 0, jitterMs: 0};

async function applyPathFaults({path, faults, durationMs}: {readonly path: FaultProxy; readonly faults: Partial<PathFaults>; readonly durationMs: number}): Promise<void> {
	path.set(faults);
	await sleep(durationMs);
	path.set(noPathFaults);
}

/** Silences the connections that are open now permanently. New connections work. */
function silenceOpenConnections(path: FaultProxy): void {
	path.set({silentToClient: true});
	path.set({silentToClient: false});
}
