/** Prints the measurements of control: `node control-main.js [SEED]`; those against the rate of changes come from `npm run bench -- control-changes`. */
import process from 'node:process';
import {measureControl, plannedWatchers, watcherCallsPerSecond} from './control.js';

const seed = Number(process.argv[2] ?? 1);
const {rows, slopes, sizes} = await measureControl({seed});
const print = (value: unknown): void => {
	process.stdout.write(`${JSON.stringify(value)}\n`);
};

print({seed});
for (const row of rows) {
	print(row);
}

for (const {quantity, unit, line, plannedX, plannedY} of slopes) {
	print({
		quantity, unit, slope: line.slope, intercept: line.intercept, relativeResidual: line.relativeResidual, plannedX, plannedY,
	});
}

print({plannedWatchers, plannedWatcherCallsPerSecond: watcherCallsPerSecond(plannedWatchers)});
for (const size of sizes) {
	print(size);
}
