/** Runs the platform stand-in as a separate process: `node main.js [PORT]`. Prints its endpoint as JSON. */
import process from 'node:process';
import {startPlatformStandIn} from './platform-stand-in.js';

const platform = await startPlatformStandIn({port: Number(process.argv[2] ?? 0)});
process.stdout.write(`${JSON.stringify(platform.endpoint)}\n`);
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		void platform.stop();
	});
}
