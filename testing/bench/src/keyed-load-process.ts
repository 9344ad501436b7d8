/** Starts processes that send bookings and adds up what they saw. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {decodeFromCompressedBase64} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {Endpoint} from '@pomelopick/core.types';

/** What one process sends. */
export interface KeyedLoadOptions {
	/** Entry instances, in turn. */
	readonly endpoints: readonly Endpoint[];
	readonly callsPerSecond: number;
	readonly durationMs: number;
	readonly isKeyed: boolean;
}

/** What one process saw. */
export interface KeyedLoadResult {
	/** Latencies of the answers in microseconds, encoded. */
	readonly histogram: string;
	/** Calls without an answer of a backend server, by reason. */
	readonly refusals: Readonly<Record<string, number>>;
}

/** What all processes saw. */
export interface KeyedLoad {
	readonly answered: number;
	readonly refused: number;
	readonly refusals: Readonly<Record<string, number>>;
	readonly p50Ms: number;
	readonly p99Ms: number;
}

/** Options of {@link driveKeyed}. */
export interface DriveKeyedOptions extends KeyedLoadOptions {
	readonly processes: number;
	/** Called when all processes are ready, just before they start. */
	readonly onStart?: () => Promise<void>;
}

interface LoadProcess {
	readonly child: ChildProcess;
	readonly lines: AsyncIterator<string>;
}

/** Splits a rate over several processes, so that none of them is the limit. */
export async function driveKeyed({processes, callsPerSecond, onStart, ...options}: DriveKeyedOptions): Promise<KeyedLoad> {
	const started = Array.from({length: processes}, () => startProcess({...options, callsPerSecond: callsPerSecond / processes}));
	await Promise.all(started.map(async ({lines}) => lines.next()));
	await onStart?.();
	for (const {child} of started) {
		child.stdin!.end('start\n');
	}

	const results = await Promise.all(started.map(async ({lines}) => {
		const line = await lines.next();
		return JSON.parse(String(line.value)) as KeyedLoadResult;
	}));
	return addUp(results);
}

function startProcess(options: KeyedLoadOptions): LoadProcess {
	const child = spawn(process.execPath, [fileURLToPath(new URL('keyed-load.js', import.meta.url)), JSON.stringify(options)], {stdio: ['pipe', 'pipe', 'inherit']});
	return {child, lines: createInterface({input: child.stdout})[Symbol.asyncIterator]()};
}

function addUp(results: readonly KeyedLoadResult[]): KeyedLoad {
	const [first, ...others] = results.map(({histogram}) => decodeFromCompressedBase64(histogram)) as [Histogram, ...Histogram[]];
	for (const histogram of others) {
		first.add(histogram);
	}

	const refusals: Record<string, number> = {};
	for (const [reason, count] of results.flatMap(result => Object.entries(result.refusals))) {
		refusals[reason] = (refusals[reason] ?? 0) + count;
	}

	const at = (percentile: number): number => Math.round(first.getValueAtPercentile(percentile) / 100) / 10;
	return {
		answered: first.totalCount, refused: Object.values(refusals).reduce((sum, count) => sum + count, 0), refusals, p50Ms: at(50), p99Ms: at(99),
	};
}
