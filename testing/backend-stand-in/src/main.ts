/** Runs one backend server as a process: `node main.js '{"name": …, "slots": …, "port": …, "behaviour": …}'`. */
import process from 'node:process';
import {startBackendStandIn} from './backend-stand-in.js';
import type {StartBackendStandInOptions} from './backend-stand-in.js';

const CRASH_EXIT_CODE = 70;

const options = JSON.parse(process.argv[2] ?? '{}') as Omit<StartBackendStandInOptions, 'crash'>;
const backend = await startBackendStandIn({
	...options, crash() {
		process.exit(CRASH_EXIT_CODE);
	},
});
process.stdout.write(`${JSON.stringify(backend.endpoint)}\n`);
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		void backend.stop();
	});
}
