/** Runs soak rounds against the retry budget: `npm run soak:retries -- SEED ROUNDS [GATEWAYS SERVERS]`. Each round uses the next seed. The exit code is 1 if there was a violation. */
import process from 'node:process';
import {runRetryRound} from './retry-round.js';

const DURATION_MS = 25_000;

const [firstSeed = 1, rounds = 1, gateways, servers] = process.argv.slice(2).map(Number);
for (let round = 0; round < rounds; round += 1) {
	const {violations, lines, ...summary} = await runRetryRound({
		seed: firstSeed + round, durationMs: DURATION_MS, gateways, servers,
	});
	process.stdout.write(`${JSON.stringify({...summary, violations: violations.length})}\n`);
	for (const violation of violations) {
		process.stdout.write(`  ${JSON.stringify(violation)}\n`);
		process.exitCode = 1;
	}

	if (violations.length > 0) {
		process.stdout.write(lines.map(line => `  ${JSON.stringify(line)}\n`).join(''));
	}
}
