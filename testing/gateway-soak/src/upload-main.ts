/** Runs rounds against the reservations of uploads: `npm run soak:uploads -- SEED ROUNDS [SECONDS] [FAULT…]`. Each round uses the next seed. The exit code is 1 if there was a violation. */
import process from 'node:process';
import {lastingFaultNames} from './lasting-faults.js';
import {runUploadRound} from './upload-round.js';

const MILLISECONDS_PER_SECOND = 1000;

const [firstSeed = 1, rounds = 1, seconds = 20] = process.argv.slice(2, 5).map(Number);
const drawn = lastingFaultNames.filter(name => process.argv.slice(5).includes(name));
for (let round = 0; round < rounds; round += 1) {
	const {violations, ...summary} = await runUploadRound({seed: firstSeed + round, durationMs: seconds * MILLISECONDS_PER_SECOND, ...(drawn.length > 0 && {faultNames: drawn})});
	process.stdout.write(`${JSON.stringify({...summary, violations: violations.length})}\n`);
	for (const violation of violations) {
		process.stdout.write(`  ${JSON.stringify(violation)}\n`);
		process.exitCode = 1;
	}
}
