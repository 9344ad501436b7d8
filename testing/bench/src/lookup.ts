/** Measures look-ups with the planned number of client blocks loaded. */
import {performance} from 'node:perf_hooks';
import {setImmediate as pause} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {createPlannedSet} from '@pomelopick/config.examples';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import {BlockTable} from '@pomelopick/steering.lookup';
import {popescuVlad, startFleet} from '@pomelopick/testing.fleet';
import {measureLoad} from './load-process.js';
import type {MeasuredLoad} from './load-process.js';

const CALLERS = 32;
const WARM_UP_MS = 1000;
const DEFAULT_DURATION_MS = 5000;
const DISTINCT_CLIENTS = 1000;
const PURE_LOOK_UPS = 500_000;

/** Least look-ups over HTTP, per second of one core. */
export const LEAST_LOOK_UPS_PER_SECOND = 5000;
/** Most memory of the block table, in bytes. */
export const MOST_TABLE_BYTES = 8_000_000;

/** Options of {@link measureLookup}. */
export interface MeasureLookupOptions {
	readonly seed: number;
	readonly durationMs?: number;
	readonly report: (line: string) => void;
}

/** Look-ups of one instance. */
export interface LookupMeasurement {
	readonly clientBlocks: number;
	readonly http: MeasuredLoad;
	/** Look-ups per second of processor time. */
	readonly perCoreSecond: number;
	/** Look-ups in the block table alone, per second of one core. */
	readonly purePerSecond: number;
	readonly tableBytes: number;
	/** Time to build the table, in milliseconds. */
	readonly buildMs: number;
	readonly isMet: boolean;
}

/** Measures the table in this process and the look-up of one entry instance in its own. */
export async function measureLookup({seed, durationMs = DEFAULT_DURATION_MS, report}: MeasureLookupOptions): Promise<LookupMeasurement> {
	const planned = createPlannedSet({seed});
	const clients = drawClients({seed, count: DISTINCT_CLIENTS});
	report(`building the table of ${planned.clientBlocks?.length ?? 0} blocks`);
	const pure = await measureTable({planned, clients});
	report(`loading the blocks into an entry instance, then ${durationMs} ms of look-ups from ${CALLERS} callers`);
	const http = await measureHttp({planned, clients, durationMs});
	const perCoreSecond = 1_000_000 / http.cpuMicroseconds;
	return {
		clientBlocks: planned.clientBlocks?.length ?? 0,
		http,
		perCoreSecond,
		...pure,
		isMet: http.failed === 0 && Math.min(http.perSecond, perCoreSecond) >= LEAST_LOOK_UPS_PER_SECOND && pure.tableBytes < MOST_TABLE_BYTES,
	};
}

async function measureTable({planned, clients}: {readonly planned: ConfigurationSetInput; readonly clients: readonly string[]}): Promise<{purePerSecond: number; tableBytes: number; buildMs: number}> {
	const {clientBlocks: blocks} = checkConfigurationSet(planned).unsafeCoerce();
	const buildStartedAtMs = performance.now();
	const table = await BlockTable.build({blocks: [...blocks], pause});
	const buildMs = performance.now() - buildStartedAtMs;
	const startedAtMs = performance.now();
	let found = 0;
	for (let index = 0; index < PURE_LOOK_UPS; index += 1) {
		found += Number(table.siteOf(clients[index % clients.length]!) !== undefined);
	}

	const elapsedMs = performance.now() - startedAtMs;
	if (found === 0) {
		throw new Error('no drawn client lies in a block');
	}

	return {purePerSecond: PURE_LOOK_UPS / elapsedMs * 1000, tableBytes: table.byteLength, buildMs};
}

async function measureHttp({planned, clients, durationMs}: {readonly planned: ConfigurationSetInput; readonly clients: readonly string[]; readonly durationMs: number}): Promise<MeasuredLoad> {
	const fleet = await startFleet({
		deployment: {...popescuVlad, services: popescuVlad.services.map(service => ({...service, servers: 1}))},
		entries: 3,
		adjustSet: set => addPlaces({set, planned}),
	});
	try {
		const {child, instance: {callers}} = fleet.entries[0]!;
		return await measureLoad({
			processId: child.processId,
			origin: `http://${callers.address}:${callers.port}`,
			paths: clients.map(client => `/v1/entries?service=corrections&client=${client}`),
			callers: CALLERS,
			durationMs,
			warmUpMs: WARM_UP_MS,
		});
	} finally {
		await fleet.stop();
	}
}

/** Adds the places and blocks of the planned set to a fleet's own. */
function addPlaces({set, planned}: {readonly set: ConfigurationSetInput; readonly planned: ConfigurationSetInput}): ConfigurationSetInput {
	return {
		...set,
		regions: [...set.regions, ...planned.regions],
		failureDomains: [...set.failureDomains, ...planned.failureDomains],
		sites: [...set.sites, ...planned.sites],
		links: [...set.links ?? [], ...planned.links ?? []],
		clientBlocks: planned.clientBlocks,
	};
}

const IPV6_PERCENT = 23;
const PERCENT = 100;
const OCTET = 256;
const GROUP = 65_536;

function drawClients({seed, count}: {readonly seed: number; readonly count: number}): string[] {
	const random = xoroshiro128plus(seed);
	const draw = (below: number): number => uniformInt(random, 0, below - 1);
	return Array.from({length: count}, () => draw(PERCENT) < IPV6_PERCENT
		? `2001:db8:${draw(GROUP).toString(16)}::${draw(GROUP).toString(16)}`
		: `10.${draw(OCTET)}.${draw(OCTET)}.${draw(OCTET)}`);
}
