/** Prints messages and bytes of heartbeats over rings, a tree and all-to-all: `node overlay-main.js`. */
import process from 'node:process';
import {compareOverlays} from './overlay-comparison.js';

for (const row of await compareOverlays()) {
	process.stdout.write(`${JSON.stringify(row)}\n`);
}
