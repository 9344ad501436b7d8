/** CPU time and memory of this process and of others, in one place. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const CLOCK_TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const MICROSECONDS_PER_MILLISECOND = 1000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** CPU time that another process used since it started, in milliseconds; Linux only. */
export async function readCpuMs(processId: number): Promise<number> {
	const text = await readFile(`/proc/${processId}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
	return ticks * 1000 / CLOCK_TICKS_PER_SECOND;
}

/** Memory that another process has resident, in bytes; Linux only. */
export async function readResidentBytes(processId: number): Promise<number> {
	const text = await readFile(`/proc/${processId}/status`, 'utf8');
	return Number(/VmRSS:\s+(\d+) kB/u.exec(text)?.[1] ?? 0) * 1024;
}

/** Heap and array buffers that a value made by `create` keeps alive, in bytes. */
export function measureRetainedBytes(create: () => unknown): number {
	collectGarbage();
	const before = heldBytes();
	const value = create();
	collectGarbage();
	const after = heldBytes();
	return value === undefined ? 0 : after - before;
}

/** CPU time that a function takes, in milliseconds. */
export async function measureCpuMs(run: () => unknown): Promise<number> {
	const before = process.cpuUsage();
	await run();
	const {user, system} = process.cpuUsage(before);
	return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

function heldBytes(): number {
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}
