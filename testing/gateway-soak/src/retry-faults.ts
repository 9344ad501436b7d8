/** Faults meant to make the fleet exceed its retry budget: failures of many gateways at once, delayed and lost requests and responses, and gateways that join late. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Draw} from './draw.js';
import type {SoakEnvironment} from './environment.js';

/** Minimum duration of a fault, and range of the random time added to it, in milliseconds. */
const MIN_FAULT_MS = 200;
const FAULT_JITTER_MS = 3000;
const KILLS = 6;
/** Time for which the queue of connections of a server is full, in milliseconds: connections are then established when the kernel tries again, after 1 s. */
const FULL_QUEUE_MS = 900;
/** Time in which a killed gateway restarts and uses up its retry allowance, and range of the random time added to it, in milliseconds. */
const KILL_PAUSE_MS = 2000;
const KILL_JITTER_MS = 500;
const JOIN_NUMBER = 100;
/** Percentage of new connections to servers that are closed as soon as they are accepted, while paths are lossy. */
const LOSS_PERCENT = 50;

/** Names of the faults. */
export const retryFaultNames = [
	'kill-all',
	'kill-series',
	'kill-half',
	'terminate-half',
	'pause-half',
	'pause-all',
	'store-outage',
	'store-returns-older',
	'store-paths-cut',
	'paths-frozen',
	'paths-delayed',
	'servers-accept-late',
	'paths-one-way',
	'paths-lossy',
	'join',
] as const;

/** Name of a fault. */
export type RetryFaultName = typeof retryFaultNames[number];

/** First words of the names of the faults by signals, which are recorded as disturbances of the gateways that they struck. */
const signalFaults = ['kill', 'terminate', 'pause'] as const;

/** Options of {@link injectRetryFault}. */
export interface InjectRetryFaultOptions {
	readonly environment: SoakEnvironment;
	readonly name: RetryFaultName;
	readonly draw: Draw;
	readonly seed: number;
}

/** Injects a fault and resolves when it has ended. */
export async function injectRetryFault({environment, name, draw, seed}: InjectRetryFaultOptions): Promise<void> {
	const durationMs = MIN_FAULT_MS + draw(FAULT_JITTER_MS);
	const offset = draw(2);
	const half = environment.members.filter((_, index) => index % 2 === offset);
	const {faults, keyValues} = environment.fleet.platform;
	const signal = (members: typeof half, sent: NodeJS.Signals): void => {
		for (const {process} of members) {
			process.signal(sent);
		}
	};

	const runForDuration = async ({begin, end}: {readonly begin: () => void; readonly end: () => void}): Promise<void> => {
		begin();
		await sleep(durationMs);
		end();
	};

	const pause = async (members: typeof half): Promise<void> => {
		const processes = members.map(({process}) => process);
		await runForDuration({
			begin() {
				for (const process of processes) {
					process.signal('SIGSTOP');
				}
			},
			end() {
				for (const process of processes) {
					process.signal('SIGCONT');
				}
			},
		});
	};

	const injectors: Record<RetryFaultName, () => Promise<void>> = {
		async 'kill-all'() {
			signal(environment.members, 'SIGKILL');
		},
		async 'kill-series'() {
			for (let kill = 0; kill < KILLS; kill += 1) {
				signal(draw(KILLS * 2) === 0 ? half : environment.members, 'SIGKILL');
				await sleep(KILL_PAUSE_MS + draw(KILL_JITTER_MS));
			}
		},
		async 'kill-half'() {
			signal(half, 'SIGKILL');
		},
		async 'terminate-half'() {
			signal(half, 'SIGTERM');
		},
		'pause-half': async () => pause(half),
		'pause-all': async () => pause(environment.members),
		'store-outage': async () => runForDuration({
			begin() {
				faults.outage = true;
			},
			end() {
				faults.outage = false;
			},
		}),
		async 'store-returns-older'() {
			const copy = keyValues.copy();
			await sleep(durationMs);
			faults.outage = true;
			await sleep(MIN_FAULT_MS);
			keyValues.returnTo(copy);
			faults.outage = false;
		},
		'store-paths-cut': async () => runForDuration({
			begin() {
				for (const {storePath} of half) {
					storePath.set({cut: true});
				}
			},
			end() {
				for (const {storePath} of half) {
					storePath.set({cut: false});
				}
			},
		}),
		'paths-frozen': async () => runForDuration({
			begin() {
				environment.setServerPaths({frozen: true});
			},
			end() {
				environment.setServerPaths({frozen: false});
			},
		}),
		'paths-delayed': async () => runForDuration({
			begin() {
				environment.setServerPaths({delayMs: 300, jitterMs: 500});
			},
			end() {
				environment.setServerPaths({delayMs: 0, jitterMs: 0});
			},
		}),
		async 'servers-accept-late'() {
			const numbers = [...environment.fleet.servers.keys()].filter(number => number % 2 === offset);
			await Promise.all(numbers.map(async number => environment.acceptLate({number, durationMs: FULL_QUEUE_MS})));
		},
		async 'paths-one-way'() {
			// Only the connections that are open now go silent.
			environment.setServerPaths({silentToClient: true});
			environment.setServerPaths({silentToClient: false});
		},
		'paths-lossy': async () => runForDuration({
			begin() {
				environment.setServerPaths({lossPercent: LOSS_PERCENT});
			},
			end() {
				environment.setServerPaths({lossPercent: 0});
			},
		}),
		async join() {
			await environment.addGateway({number: JOIN_NUMBER + environment.members.length, seed});
		},
	};
	const fromMs = performance.now();
	await injectors[name]();
	const paths = name.startsWith('paths-') ? environment.fleet.servers.map(server => ({subject: server.name, fault: 'path-delayed'})) : [];
	const struck = name.endsWith('-half') ? half : environment.members;
	const gateways = signalFaults.flatMap(fault => name.startsWith(fault) ? struck.map(({settings}) => ({subject: settings.instance, fault})) : []);
	environment.disturbances.push(...[...paths, ...gateways].map(disturbance => ({...disturbance, fromMs, toMs: performance.now()})));
}
