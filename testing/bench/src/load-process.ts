/** Runs the load in a process of its own and reads the processor time of the process under load. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {readCpuMs} from './capacity/measure-process.js';

/** What the load process does. */
export interface LoadOptions {
	readonly origin: string;
	/** Paths, asked for in turn. */
	readonly paths: readonly string[];
	/** Requests in flight. */
	readonly callers: number;
	/** Measured time, in milliseconds. */
	readonly durationMs: number;
	/** Time before the measurement, in milliseconds. */
	readonly warmUpMs: number;
}

/** What the load process saw. */
export interface LoadResult {
	readonly answered: number;
	readonly failed: number;
	readonly perSecond: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
}

/** What a process did under load. */
export interface MeasuredLoad extends LoadResult {
	/** Processor time per answer of the process under load, in microseconds, all of its threads together. */
	readonly cpuMicroseconds: number;
	/** Share of one core that the process used. */
	readonly cores: number;
}

/** Options of {@link measureLoad}. */
export interface MeasureLoadOptions extends LoadOptions {
	/** Process under load. */
	readonly processId: number;
}

/** Puts load on a process and measures it. */
export async function measureLoad({processId, ...options}: MeasureLoadOptions): Promise<MeasuredLoad> {
	const child = spawn(process.execPath, [fileURLToPath(new URL('load.js', import.meta.url)), JSON.stringify(options)], {stdio: ['ignore', 'pipe', 'inherit']});
	const exited = once(child, 'exit');
	let cpuBeforeMs = 0;
	let result: LoadResult | undefined;
	for await (const line of createInterface({input: child.stdout})) {
		const message = JSON.parse(line) as {readonly warm?: boolean} & Partial<LoadResult>;
		if (message.warm) {
			cpuBeforeMs = await readCpuMs(processId);
		} else if (message.answered !== undefined) {
			result = message as LoadResult;
		}
	}

	const cpuMs = await readCpuMs(processId) - cpuBeforeMs;
	await exited;
	if (!result) {
		throw new Error('the load process ended without a result');
	}

	return {...result, cpuMicroseconds: cpuMs / result.answered * 1000, cores: cpuMs / options.durationMs};
}
