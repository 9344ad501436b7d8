/** Runs rounds of returns of the store: `npm run soak:returns -- SEED ROUNDS [GATEWAYS SERVERS]`. Each round uses the next seed. The exit code is 1 if there was a violation. */
import process from 'node:process';
import {runReturnRound} from './return-round.js';

const RETURNS = 4;

const [firstSeed = 1, rounds = 1, gateways, servers] = process.argv.slice(2).map(Number);
for (let round = 0; round < rounds; round += 1) {
	const {violations, ...summary} = await runReturnRound({
		seed: firstSeed + round, returns: RETURNS, gateways, servers,
	});
	process.stdout.write(`${JSON.stringify({...summary, violations: violations.length})}\n`);
	for (const violation of violations) {
		process.stdout.write(`  ${JSON.stringify(violation)}\n`);
		process.exitCode = 1;
	}
}
