/** Runs rounds against quotas: `npm run soak:quotas -- SEED ROUNDS [SECONDS]`. Each round uses the next seed. The exit code is 1 if there was a violation. */
import process from 'node:process';
import {runQuotaRound} from './quota-round.js';

const MILLISECONDS_PER_SECOND = 1000;

const [firstSeed = 1, rounds = 1, seconds = 40] = process.argv.slice(2).map(Number);
for (let round = 0; round < rounds; round += 1) {
	const {violations, ...summary} = await runQuotaRound({seed: firstSeed + round, durationMs: seconds * MILLISECONDS_PER_SECOND});
	process.stdout.write(`${JSON.stringify({...summary, violations: violations.length})}\n`);
	for (const violation of violations) {
		process.stdout.write(`  ${JSON.stringify(violation)}\n`);
		process.exitCode = 1;
	}
}
