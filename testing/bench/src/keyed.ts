/** Keyed calls over a real fleet: what a key adds to a call's latency, and what the journal asks of the store. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {createKey} from '@pomelopick/testing.callers';
import {getJson, hebrides, startFleet} from '@pomelopick/testing.fleet';
import type {Fleet} from '@pomelopick/testing.fleet';

const ENTRIES = 8;
const SLOTS = 16;
const WORK_MS = 20;
const CALL_RATES = [50, 200, 600, 1200];
const DURATION_MS = 3000;
const WARM_UP_MS = 6000;
const WARM_UP_CALLS_PER_SECOND = 500;
const TICK_MS = 5;
const CALL_TIMEOUT_MS = 3000;
const BODY = JSON.stringify({note: 'x'.repeat(200)});
const MICROSECONDS_PER_MILLISECOND = 1000;
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

/** Calls at one rate. */
export interface KeyedLoad {
	readonly answered: number;
	readonly refused: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
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
		await drive({
			fleet, callsPerSecond: WARM_UP_CALLS_PER_SECOND, durationMs: WARM_UP_MS, isKeyed: true,
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
		`${plain.refused}, ${keyed.refused}`,
		`${storeWritesPerSecond}, ${storeReadsPerSecond}, ${Math.round(storeBytesPerSecond / 1000)}`,
	].join(' | '))].join('\n');
}

async function measureRate({fleet, callsPerSecond}: {readonly fleet: Fleet; readonly callsPerSecond: number}): Promise<KeyedRow> {
	const plain = await drive({
		fleet, callsPerSecond, durationMs: DURATION_MS, isKeyed: false,
	});
	const countsOf = async (): Promise<PlatformCounts> => getJson<PlatformCounts>({endpoint: fleet.platform, path: '/stand-in/counters'});
	const before = await countsOf();
	const keyed = await drive({
		fleet, callsPerSecond, durationMs: DURATION_MS, isKeyed: true,
	});
	const after = await countsOf();
	const perSecond = (name: keyof PlatformCounts): number => Math.round((after[name] - before[name]) * 1000 / DURATION_MS);
	return {
		callsPerSecond, plain, keyed, storeWritesPerSecond: perSecond('writes'), storeReadsPerSecond: perSecond('reads'), storeBytesPerSecond: perSecond('bytes'),
	};
}

interface DriveOptions {
	readonly fleet: Fleet;
	readonly callsPerSecond: number;
	readonly durationMs: number;
	readonly isKeyed: boolean;
}

/** Calls arrive evenly whatever becomes of those before. */
async function drive({fleet, callsPerSecond, durationMs, isKeyed}: DriveOptions): Promise<KeyedLoad> {
	const agent = new Agent({pipelining: 1});
	const histogram = build({highestTrackableValue: 60_000_000});
	let answered = 0;
	let refused = 0;
	const call = async (index: number): Promise<void> => {
		const {address, port} = fleet.entries[index % fleet.entries.length]!.instance.callers;
		const startedAtMs = performance.now();
		const response = await request(`http://${address}:${port}/v1/services/ledger/bookings/${index}`, {
			method: 'POST', body: BODY, dispatcher: agent, headers: {'x-request-timeout-ms': String(CALL_TIMEOUT_MS), ...(isKeyed && {'idempotency-key': createKey(), 'x-call-attempt': '1'})},
		});
		await response.body.dump();
		if (response.statusCode === 200) {
			answered += 1;
			histogram.recordValue(Math.round((performance.now() - startedAtMs) * MICROSECONDS_PER_MILLISECOND));
		} else {
			refused += 1;
		}
	};

	const running: Array<Promise<void>> = [];
	const startedAtMs = performance.now();
	while (performance.now() - startedAtMs < durationMs) {
		const due = Math.floor((performance.now() - startedAtMs) * callsPerSecond / 1000);
		while (running.length < due) {
			running.push(call(running.length));
		}

		await sleep(TICK_MS);
	}

	await Promise.all(running);
	await agent.destroy();
	const at = (percentile: number): number => Math.round(histogram.getValueAtPercentile(percentile) / 100) / 10;
	return {
		answered, refused, p50Ms: at(50), p99Ms: at(99),
	};
}
