/** Runs soak rounds against gateways: `npm run soak:gateway -- SEED ROUNDS [GATEWAYS SERVERS]`. Each round uses the next seed. The exit code is 1 if there was a violation. */
import process from 'node:process';
import {runRound} from './soak.js';

const FAULTS = 25;
const CALLERS = 10;

const [firstSeed = 1, rounds = 1, gateways, servers] = process.argv.slice(2).map(Number);
for (let round = 0; round < rounds; round += 1) {
	const {violations, ...summary} = await runRound({
		seed: firstSeed + round, faults: FAULTS, callers: CALLERS, gateways, servers,
	});
	process.stdout.write(`${JSON.stringify({...summary, violations: violations.length})}\n`);
	for (const violation of violations) {
		process.stdout.write(`  ${JSON.stringify(violation)}\n`);
		process.exitCode = 1;
	}
}
