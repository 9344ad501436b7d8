/** Writes the record of a case: what was sent, answered and run, with the time since the start of the case. */
import {createWriteStream} from 'node:fs';
import {performance} from 'node:perf_hooks';

const MILLISECONDS_PER_SECOND = 1000;

/** Opens `record.txt` in the folder of a case. */
export function openRecord(file) {
	const stream = createWriteStream(file);
	const startedAtMs = performance.now();
	return {
		/** Adds a line. */
		line(text) {
			const seconds = (performance.now() - startedAtMs) / MILLISECONDS_PER_SECOND;
			stream.write(`${seconds.toFixed(3).padStart(8)} ${text}\n`);
		},
		/** Writes what is left; resolves when it lies in the file. */
		async close() {
			await new Promise(resolve => {
				stream.end(resolve);
			});
		},
	};
}
