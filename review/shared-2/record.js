/** The record of a case: one line for whatever was sent, answered, run or done to a process, with the time since the start. */
import {createWriteStream} from 'node:fs';

const startedAtMs = performance.now();

/** Opens the record. */
export function openRecord(file) {
	const stream = createWriteStream(file);
	return {
		line(kind, fields = {}) {
			const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ');
			stream.write(`${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${kind} ${text}\n`);
		},
		async close() {
			await new Promise(resolve => {
				stream.end(resolve);
			});
		},
	};
}
