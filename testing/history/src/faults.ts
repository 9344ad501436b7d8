/** Faults of a run: each is brought about, held for a while and taken back. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {PathFaults} from '@pomelopick/testing.fault-proxy';
import type {BackendBehaviour} from '@pomelopick/testing.backend-stand-in';
import type {BackendProcess, EntryProcess, Fleet} from '@pomelopick/testing.fleet';
import type {EntryPaths, ProxiedFleet} from './proxied-fleet.js';

/** Names of the faults. */
export const faultNames = [
	'entry-killed',
	'entry-paused',
	'entry-stopped',
	'callers-cut',
	'callers-silent',
	'peers-cut',
	'peers-silent-to-server',
	'peers-silent-to-client',
	'store-path-cut',
	'store-path-silent',
	'store-outage',
	'store-slow',
	'store-answers-lost',
	'backend-killed',
	'backend-drained',
	'backend-late',
	'backend-truncates',
	'backend-path-cut',
	'backend-path-silent-to-server',
	'backend-path-silent-to-client',
	'backend-path-delayed',
] as const;

/** Name of a fault. */
export type FaultName = typeof faultNames[number];

/** Options of {@link applyFault}. */
export interface ApplyFaultOptions {
	readonly proxied: ProxiedFleet;
	readonly name: FaultName;
	/** Time for which the fault holds, in milliseconds. */
	readonly durationMs: number;
	readonly draw: (below: number) => number;
}

const LATE_WORK_MS = 1500;
const SLOW_STORE_MS = 250;
const LOST_ANSWERS = 6;
const TRUNCATE_EVERY = 3;
const PATH_DELAY_MS = 150;
const PATH_JITTER_MS = 300;
const noPathFaults: Partial<PathFaults> = {
	cut: false, silentToServer: false, silentToClient: false, delayMs: 0, jitterMs: 0,
};

let replacements = 0;

/** Brings a fault about, waits and takes it back. */
export async function applyFault({proxied, name, durationMs, draw}: ApplyFaultOptions): Promise<void> {
	const {fleet} = proxied;
	const pickEntry = (): EntryProcess => fleet.entries[draw(fleet.entries.length)]!;
	const pickBackend = (): BackendProcess => fleet.backends[draw(fleet.backends.length)]!;
	const replace = async ({instance}: EntryProcess): Promise<void> => {
		replacements += 1;
		await fleet.startEntry({id: `${instance.id.split('.')[0]}.${replacements}`, failureDomain: instance.failureDomain});
	};

	const onPath = async (path: keyof EntryPaths, faults: Partial<PathFaults>): Promise<void> => {
		const proxy = proxied.pathsOf(pickEntry())[path];
		proxy.set(faults);
		await sleep(durationMs);
		proxy.set(noPathFaults);
	};

	const onBackendPath = async (faults: Partial<PathFaults>): Promise<void> => {
		const proxy = proxied.pathOf(pickBackend());
		proxy.set(faults);
		await sleep(durationMs);
		proxy.set(noPathFaults);
	};

	const onBackend = async (faulty: Partial<BackendBehaviour>, sound: Partial<BackendBehaviour>): Promise<void> => {
		const backend = pickBackend();
		await changeBehaviour({fleet, backend, behaviour: faulty});
		await sleep(durationMs);
		await changeBehaviour({fleet, backend, behaviour: sound});
	};

	const faults: Record<FaultName, () => Promise<void>> = {
		async 'entry-killed'() {
			if (fleet.entries.length > 2) {
				const entry = pickEntry();
				await fleet.killEntry(entry);
				await sleep(durationMs);
				await replace(entry);
			}
		},
		async 'entry-paused'() {
			const {child} = pickEntry();
			child.signal('SIGSTOP');
			await sleep(durationMs);
			child.signal('SIGCONT');
		},
		async 'entry-stopped'() {
			if (fleet.entries.length > 2) {
				const entry = pickEntry();
				await Promise.all([fleet.stopEntry(entry), sleep(durationMs)]);
				await replace(entry);
			}
		},
		'callers-cut': async () => onPath('callers', {cut: true}),
		'callers-silent': async () => onPath('callers', {silentToClient: true}),
		'peers-cut': async () => onPath('peers', {cut: true}),
		'peers-silent-to-server': async () => onPath('peers', {silentToServer: true}),
		'peers-silent-to-client': async () => onPath('peers', {silentToClient: true}),
		'store-path-cut': async () => onPath('store', {cut: true}),
		'store-path-silent': async () => onPath('store', {silentToClient: true}),
		async 'store-outage'() {
			await fleet.setPlatformFaults({outage: true});
			await sleep(durationMs);
			await fleet.setPlatformFaults({outage: false});
		},
		async 'store-slow'() {
			await fleet.setPlatformFaults({slownessMs: SLOW_STORE_MS});
			await sleep(durationMs);
			await fleet.setPlatformFaults({slownessMs: 0});
		},
		async 'store-answers-lost'() {
			await fleet.setPlatformFaults({loseNextWriteAnswers: LOST_ANSWERS});
			await sleep(durationMs);
		},
		async 'backend-killed'() {
			const backend = pickBackend();
			if (!backend.child.hasExited()) {
				await backend.child.kill();
				await sleep(durationMs);
				await fleet.restartBackend(backend);
			}
		},
		'backend-drained': async () => onBackend({draining: true}, {draining: false}),
		'backend-late': async () => onBackend({workMs: LATE_WORK_MS}, {workMs: 20}),
		'backend-path-cut': async () => onBackendPath({cut: true}),
		'backend-path-silent-to-server': async () => onBackendPath({silentToServer: true}),
		'backend-path-silent-to-client': async () => onBackendPath({silentToClient: true}),
		'backend-path-delayed': async () => onBackendPath({delayMs: PATH_DELAY_MS, jitterMs: PATH_JITTER_MS}),
		'backend-truncates': async () => onBackend({truncateEvery: TRUNCATE_EVERY}, {truncateEvery: 0}),
	};
	await faults[name]();
}

/** A backend server that another fault has killed meanwhile keeps its behaviour of the start. */
async function changeBehaviour({fleet, backend, behaviour}: {readonly fleet: Fleet; readonly backend: BackendProcess; readonly behaviour: Partial<BackendBehaviour>}): Promise<void> {
	try {
		await fleet.setBehaviour({backend, behaviour});
	} catch (error) {
		if (!backend.child.hasExited()) {
			throw error;
		}
	}
}
