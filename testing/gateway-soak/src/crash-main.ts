/**
 * Sends crashing requests beside sound ones: `npm run soak:crashes -- SEED ROUNDS [CASE] [MAIN]`.
 *
 * Each round runs all cases, or those whose name contains CASE. MAIN is the path of the compiled main module of another
 * build (`daemons/gateway/lib/main.js` of another checkout), which every second gateway runs. The exit code is 1 if there was a violation.
 */
import process from 'node:process';
import {crashCases} from './crash-cases.js';
import {checkCrashRound} from './crash-check.js';
import {runCrashRound} from './crash-round.js';

const [firstSeed = 1, rounds = 1, onlyCase, otherMain] = process.argv.slice(2);
for (let round = 0; round < Number(rounds); round += 1) {
	for (const {name, ...options} of crashCases.filter(({name}) => onlyCase === undefined || name.includes(onlyCase))) {
		const {lines, executions, ...summary} = await runCrashRound({...options, otherMain, seed: Number(firstSeed) + round});
		const violations = checkCrashRound({round: summary, fault: options.fault, ending: options.ending});
		process.stdout.write(`${JSON.stringify({name, ...summary, violations})}\n`);
		if (violations.length > 0) {
			process.exitCode = 1;
			process.stdout.write(executions.map(({atMs, server, requestId, play}) => `  ${Math.round(atMs)} ${server} ${requestId} ${play}\n`).join(''));
			process.stdout.write(lines.map(line => `  ${JSON.stringify(line)}\n`).join(''));
		}
	}
}
