/** Faults that try to make the fleet exceed its retry budget: many gateways at once, late arrivals, late joins. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Draw} from './draw.js';
import type {World} from './world.js';

const SHORTEST_FAULT_MS = 200;
const LONGEST_FAULT_MS = 3000;
const KILLS = 6;
/** Time in which a killed gateway is back and has used what it may, in milliseconds, and what is drawn besides. */
const KILL_PAUSE_MS = 2000;
const KILL_JITTER_MS = 500;
const JOIN_NUMBER = 100;

/** Faults by name. */
export const retryFaultNames = [
	'kill-all',
	'kill-series',
	'kill-half',
	'terminate-half',
	'pause-half',
	'pause-all',
	'store-outage',
	'store-paths-cut',
	'paths-frozen',
	'paths-delayed',
	'join',
] as const;

/** Name of a fault. */
export type RetryFaultName = typeof retryFaultNames[number];

/** Options of {@link bringRetryFault}. */
export interface BringRetryFaultOptions {
	readonly world: World;
	readonly name: RetryFaultName;
	readonly draw: Draw;
	readonly seed: number;
}

/** Brings a fault about and ends it. */
export async function bringRetryFault({world, name, draw, seed}: BringRetryFaultOptions): Promise<void> {
	const durationMs = SHORTEST_FAULT_MS + draw(LONGEST_FAULT_MS);
	const offset = draw(2);
	const half = world.members.filter((_, index) => index % 2 === offset);
	const {faults} = world.fleet.platform;
	const signal = (members: typeof half, sent: NodeJS.Signals): void => {
		for (const {process} of members) {
			process.signal(sent);
		}
	};

	const hold = async ({begin, end}: {readonly begin: () => void; readonly end: () => void}): Promise<void> => {
		begin();
		await sleep(durationMs);
		end();
	};

	const pause = async (members: typeof half): Promise<void> => {
		const processes = members.map(({process}) => process);
		await hold({
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

	const bring: Record<RetryFaultName, () => Promise<void>> = {
		async 'kill-all'() {
			signal(world.members, 'SIGKILL');
		},
		async 'kill-series'() {
			for (let kill = 0; kill < KILLS; kill += 1) {
				signal(draw(KILLS * 2) === 0 ? half : world.members, 'SIGKILL');
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
		'pause-all': async () => pause(world.members),
		'store-outage': async () => hold({
			begin() {
				faults.outage = true;
			},
			end() {
				faults.outage = false;
			},
		}),
		'store-paths-cut': async () => hold({
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
		'paths-frozen': async () => hold({
			begin() {
				world.setServerPaths({frozen: true});
			},
			end() {
				world.setServerPaths({frozen: false});
			},
		}),
		'paths-delayed': async () => hold({
			begin() {
				world.setServerPaths({delayMs: 300, jitterMs: 500});
			},
			end() {
				world.setServerPaths({delayMs: 0, jitterMs: 0});
			},
		}),
		async join() {
			await world.addGateway({number: JOIN_NUMBER + world.members.length, seed});
		},
	};
	await bring[name]();
}
