/**
 * Runs one backend server stand-in as a separate process:
 * `node main.js '{"name": …, "slots": …, "port": …, "behaviour": …, "executionFile": …}'`.
 * A line is appended to the execution file when an execution starts and when it ends, so that the records outlive a crash.
 */
import {appendFileSync} from 'node:fs';
import process from 'node:process';
import {startBackendStandIn} from './backend-stand-in.js';
import type {StartBackendStandInOptions} from './backend-stand-in.js';

const CRASH_EXIT_CODE = 70;

const {executionFile, ...options} = JSON.parse(process.argv[2] ?? '{}') as Omit<StartBackendStandInOptions, 'crash' | 'onExecution'> & {readonly executionFile?: string};
const backend = await startBackendStandIn({
	...options,
	onExecution(report) {
		if (executionFile !== undefined) {
			appendFileSync(executionFile, `${JSON.stringify({process: process.pid, ...report})}\n`);
		}
	},
	crash() {
		process.exit(CRASH_EXIT_CODE);
	},
});
process.stdout.write(`${JSON.stringify(backend.endpoint)}\n`);
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		void backend.stop();
	});
}
