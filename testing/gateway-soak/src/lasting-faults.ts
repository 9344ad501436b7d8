/** Faults of gateways and of the store that last longer than a lease, for rounds against what the owners of shards decide. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Draw} from './draw.js';
import type {SoakEnvironment} from './environment.js';

const MIN_FAULT_MS = 200;
const MAX_PAUSE_MS = 3000;

/** Names of the faults. */
export const lastingFaultNames = ['kill', 'terminate', 'freeze', 'store-path-cut', 'store-outage', 'store-return', 'store-slow'] as const;

/** Name of a fault. */
export type LastingFaultName = typeof lastingFaultNames[number];

/** Options of {@link injectLastingFaults}. */
export interface InjectLastingFaultsOptions {
	readonly environment: SoakEnvironment;
	/** Faults to draw from. */
	readonly names: readonly LastingFaultName[];
	/** Range of the random time added to a fault, in milliseconds. */
	readonly jitterMs: number;
	readonly draw: Draw;
	/** Monotonic time after which no fault begins, in milliseconds. */
	readonly endMs: number;
}

/** Injects one fault after the other, sometimes two at the same time; returns their names. */
export async function injectLastingFaults(options: InjectLastingFaultsOptions): Promise<readonly LastingFaultName[]> {
	const {names, draw, endMs} = options;
	const injected: LastingFaultName[] = [];
	while (performance.now() < endMs) {
		const drawn = Array.from({length: 1 + draw(2)}, () => names[draw(names.length)]!);
		injected.push(...drawn);
		await Promise.all(drawn.map(async name => injectFault({...options, name})));
		await sleep(draw(MAX_PAUSE_MS));
	}

	return injected;
}

async function injectFault({environment, name, jitterMs, draw}: InjectLastingFaultsOptions & {readonly name: LastingFaultName}): Promise<void> {
	const member = environment.members[draw(environment.members.length)]!;
	const durationMs = MIN_FAULT_MS + draw(jitterMs);
	const {faults, keyValues} = environment.fleet.platform;
	switch (name) {
		case 'kill':
		case 'terminate': {
			member.process.signal(name === 'kill' ? 'SIGKILL' : 'SIGTERM');
			break;
		}

		case 'freeze': {
			const {process} = member;
			process.signal('SIGSTOP');
			await sleep(durationMs);
			process.signal('SIGCONT');
			break;
		}

		case 'store-path-cut': {
			member.storePath.set({cut: true});
			await sleep(durationMs);
			member.storePath.set({cut: false});
			break;
		}

		case 'store-outage': {
			faults.outage = true;
			await sleep(durationMs);
			faults.outage = false;
			break;
		}

		case 'store-return': {
			const copy = keyValues.copy();
			await sleep(Math.min(durationMs, MAX_PAUSE_MS));
			keyValues.returnTo(copy);
			break;
		}

		case 'store-slow': {
			faults.slownessMs = MIN_FAULT_MS;
			await sleep(durationMs);
			faults.slownessMs = 0;
			break;
		}
	}
}
