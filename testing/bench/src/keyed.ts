/** Keyed calls over a real fleet: what a key adds to a call's latency, and what the journal asks of the store. */
import {getJson, hebrides, startFleet} from '@pomelopick/testing.fleet';
import type {Fleet} from '@pomelopick/testing.fleet';
import {driveKeyed} from './keyed-load-process.js';
import type {DriveKeyedOptions, KeyedLoad} from './keyed-load-process.js';

const ENTRIES = 8;
const SLOTS = 16;
const WORK_MS = 20;
const CALL_RATES = [50, 200, 600, 1200, 2400];
const LOAD_PROCESSES = 3;
const DURATION_MS = 3000;
const WARM_UP_MS = 6000;
const WARM_UP_CALLS_PER_SECOND = 500;
const MOST_WRITES_PER_SECOND = 200;

/** What one rate gave, without and with keys. */
export interface KeyedRow {
	readonly callsPerSecond: number;
	readonly plain: KeyedLoad;
	readonly keyed: KeyedLoad;
	/** Calls of the journal and of everything else to the store, while keyed calls ran. */
	readonly storeWritesPerSecond: number;
	readonly storeReadsPerSecond: number;
	readonly storeBytesPerSecond: number;
}

/** Results of {@link measureKeyed}. */
export interface KeyedMeasurement {
	readonly rows: readonly KeyedRow[];
	readonly isMet: boolean;
}

interface PlatformCounts {
	readonly reads: number;
	readonly writes: number;
	readonly bytes: number;
}

/** Drives bookings at each rate, first without and then with keys. */
export async function measureKeyed({report}: {readonly report: (line: string) => void}): Promise<KeyedMeasurement> {
	// More slots than the deployment has, so that the journal is what is measured.
	const deployment = {...hebrides, services: hebrides.services.slice(0, 1).map(service => ({...service, slots: SLOTS}))};
	const fleet = await startFleet({deployment, entries: ENTRIES, behaviour: {workMs: WORK_MS}});
	try {
		await driveKeyed({
			...loadOn(fleet), callsPerSecond: WARM_UP_CALLS_PER_SECOND, durationMs: WARM_UP_MS, isKeyed: true,
		});
		const rows: KeyedRow[] = [];
		for (const callsPerSecond of CALL_RATES) {
			report(`${callsPerSecond} bookings/s, without and with keys`);
			rows.push(await measureRate({fleet, callsPerSecond}));
		}

		return {rows, isMet: rows.every(({storeWritesPerSecond, keyed}) => storeWritesPerSecond <= MOST_WRITES_PER_SECOND && keyed.refused === 0)};
	} finally {
		await fleet.stop();
	}
}

/** Renders the measurement for a person. */
export function formatKeyed({rows}: KeyedMeasurement): string {
	const header = 'bookings/s | plain p50, p99 ms | keyed p50, p99 ms | added p50, p99 ms | refused plain, keyed | store writes/s, reads/s, KB/s';
	return [header, ...rows.map(({callsPerSecond, plain, keyed, storeWritesPerSecond, storeReadsPerSecond, storeBytesPerSecond}) => [
		callsPerSecond,
		`${plain.p50Ms}, ${plain.p99Ms}`,
		`${keyed.p50Ms}, ${keyed.p99Ms}`,
		`${(keyed.p50Ms - plain.p50Ms).toFixed(1)}, ${(keyed.p99Ms - plain.p99Ms).toFixed(1)}`,
		`${plain.refused} ${JSON.stringify(plain.refusals)}, ${keyed.refused} ${JSON.stringify(keyed.refusals)}`,
		`${storeWritesPerSecond}, ${storeReadsPerSecond}, ${Math.round(storeBytesPerSecond / 1000)}`,
	].join(' | '))].join('\n');
}

async function measureRate({fleet, callsPerSecond}: {readonly fleet: Fleet; readonly callsPerSecond: number}): Promise<KeyedRow> {
	const load = {...loadOn(fleet), callsPerSecond, durationMs: DURATION_MS};
	const plain = await driveKeyed({...load, isKeyed: false});
	const countsOf = async (): Promise<PlatformCounts> => getJson<PlatformCounts>({endpoint: fleet.platform, path: '/stand-in/counters'});
	let before: PlatformCounts = {reads: 0, writes: 0, bytes: 0};
	const keyed = await driveKeyed({
		...load, isKeyed: true, async onStart() {
			before = await countsOf();
		},
	});
	const after = await countsOf();
	const perSecond = (name: keyof PlatformCounts): number => Math.round((after[name] - before[name]) * 1000 / DURATION_MS);
	return {
		callsPerSecond, plain, keyed, storeWritesPerSecond: perSecond('writes'), storeReadsPerSecond: perSecond('reads'), storeBytesPerSecond: perSecond('bytes'),
	};
}

function loadOn({entries}: Fleet): Pick<DriveKeyedOptions, 'endpoints' | 'processes'> {
	return {endpoints: entries.map(({instance}) => instance.callers), processes: LOAD_PROCESSES};
}
