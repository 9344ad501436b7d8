// Record of a case: what was sent, answered and run, one line for each event, and the process's verdict.
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

const startedAtMs = performance.now();
const lines = [];

/** Monotonic time since the start of the case, in milliseconds. */
export function nowMs() {
	return performance.now() - startedAtMs;
}

/** Adds an event to the record. `fields` are written as `name=value`. */
export function record(event, fields = {}) {
	const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ');
	lines.push(`${nowMs().toFixed(0).padStart(7)} ${event} ${text}`.trimEnd());
}

/** Writes the record into the folder of the case. */
export function writeRecord({folder, verdict}) {
	writeFileSync(path.join(folder, 'record.txt'), `${[...lines, `verdict: ${verdict}`].join('\n')}\n`);
}

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';
