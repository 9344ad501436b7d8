/** Measures an entry instance beside a bare pass-through of Node's http and undici in the same run. */
import {fileURLToPath} from 'node:url';
import type {Endpoint} from '@pomelopick/core.types';
import {popescuVlad, startChild, startFleet} from '@pomelopick/testing.fleet';
import type {Child, Deployment} from '@pomelopick/testing.fleet';
import {measureLoad} from './load-process.js';
import type {MeasuredLoad} from './load-process.js';
import {medianOf} from './statistics.js';

const ANSWER_BYTES = 2048;
const CALLERS = 32;
const ORIGINS = 4;
const SLOTS_PER_ORIGIN = 64;
/** Load on each side before the first round, until its code is compiled, in milliseconds. */
const FIRST_WARM_UP_MS = 4000;
/** Load before each measurement, until the code of the load process is compiled, in milliseconds. */
const WARM_UP_MS = 1000;
const DEFAULT_ROUNDS = 7;
const DEFAULT_ROUND_MS = 2000;

/** Least rate of an entry instance, as a part of the pass-through's. */
export const LEAST_RATE_RATIO = 0.75;
/** Highest 99th percentile of an entry instance, as a multiple of the pass-through's. */
export const MOST_P99_RATIO = 1.3;

/** Options of {@link measureEntry}. */
export interface MeasureEntryOptions {
	readonly rounds?: number;
	/** Measured time of one side in one round, in milliseconds. */
	readonly roundMs?: number;
	readonly report: (line: string) => void;
}

/** One round: both sides, one after the other. */
export interface EntryRound {
	readonly entry: MeasuredLoad;
	readonly passThrough: MeasuredLoad;
}

/** An entry instance beside the pass-through. Ratios are medians over the rounds. */
export interface EntryMeasurement {
	readonly rounds: readonly EntryRound[];
	readonly rateRatio: number;
	readonly p50Ratio: number;
	readonly p99Ratio: number;
	readonly cpuRatio: number;
	readonly isMet: boolean;
}

const deployment: Deployment = {
	...popescuVlad,
	regions: popescuVlad.regions.slice(0, 1),
	failureDomainsPerRegion: 1,
	services: [{
		name: 'corrections', priority: 'interactive', servers: ORIGINS, slots: SLOTS_PER_ORIGIN,
	}],
};

/** Measures both sides in turn, in real processes. */
export async function measureEntry({rounds: count = DEFAULT_ROUNDS, roundMs = DEFAULT_ROUND_MS, report}: MeasureEntryOptions): Promise<EntryMeasurement> {
	const origins = await Promise.all(Array.from({length: ORIGINS}, async () => startModule({name: 'origin.js', options: {answerBytes: ANSWER_BYTES}})));
	const urls = origins.map(({announcement}) => toOrigin(announcement));
	const passThrough = await startModule({name: 'pass-through.js', options: {origins: urls}});
	const fleet = await startFleet({
		deployment, entries: 1, adjustSet: set => ({
			...set, spillRules: [], backendServers: (set.backendServers ?? []).map((server, index) => ({...server, ...origins[index]!.announcement})),
		}),
	});
	const entry = fleet.entries[0]!;
	const measurePassThrough = async (durationMs: number): Promise<MeasuredLoad> => measureLoad({
		callers: CALLERS, warmUpMs: WARM_UP_MS, durationMs, processId: passThrough.processId, origin: toOrigin(passThrough.announcement), paths: ['/item'],
	});
	const measureInstance = async (durationMs: number): Promise<MeasuredLoad> => measureLoad({
		callers: CALLERS, warmUpMs: WARM_UP_MS, durationMs, processId: entry.child.processId, origin: toOrigin(entry.instance.callers), paths: ['/v1/services/corrections/item'],
	});
	try {
		await measurePassThrough(FIRST_WARM_UP_MS);
		await measureInstance(FIRST_WARM_UP_MS);
		const rounds: EntryRound[] = [];
		for (let round = 1; round <= count; round += 1) {
			report(`round ${round} of ${count}: ${roundMs} ms a side, ${CALLERS} callers, answers of ${ANSWER_BYTES} bytes`);
			rounds.push(await measureRound({round, measurePassThrough: async () => measurePassThrough(roundMs), measureInstance: async () => measureInstance(roundMs)}));
		}

		return compare(rounds);
	} finally {
		await fleet.stop();
		await Promise.all([passThrough, ...origins].map(async child => child.kill()));
	}
}

interface MeasureRoundOptions {
	readonly round: number;
	readonly measurePassThrough: () => Promise<MeasuredLoad>;
	readonly measureInstance: () => Promise<MeasuredLoad>;
}

/** Measures both sides; the first alternates, so that a machine that becomes faster or slower favours neither. */
async function measureRound({round, measurePassThrough, measureInstance}: MeasureRoundOptions): Promise<EntryRound> {
	if (round % 2 === 1) {
		const passThrough = await measurePassThrough();
		return {passThrough, entry: await measureInstance()};
	}

	const entry = await measureInstance();
	return {passThrough: await measurePassThrough(), entry};
}

function compare(rounds: readonly EntryRound[]): EntryMeasurement {
	const ratio = (valueOf: (load: MeasuredLoad) => number): number => medianOf(rounds.map(({entry, passThrough}) => valueOf(entry) / valueOf(passThrough)));
	const rateRatio = ratio(({perSecond}) => perSecond);
	const p99Ratio = ratio(({p99Ms}) => p99Ms);
	const hasFailures = rounds.some(({entry, passThrough}) => entry.failed + passThrough.failed > 0);
	return {
		rounds,
		rateRatio,
		p50Ratio: ratio(({p50Ms}) => p50Ms),
		p99Ratio,
		cpuRatio: ratio(({cpuMicroseconds}) => cpuMicroseconds),
		isMet: !hasFailures && rateRatio >= LEAST_RATE_RATIO && p99Ratio <= MOST_P99_RATIO,
	};
}

async function startModule({name, options}: {readonly name: string; readonly options: unknown}): Promise<Child<Endpoint>> {
	return startChild<Endpoint>({module: fileURLToPath(new URL(name, import.meta.url)), arguments: [JSON.stringify(options)]});
}

function toOrigin({address, port}: Endpoint): string {
	return `http://${address}:${port}`;
}
