/** Plays random callers and servers against a gateway: `npm run soak:peers -- SEED SECONDS`. Batch N is drawn from SEED + N. The exit code is 1 if something was broken. */
import process from 'node:process';
import {runPeerRound} from './peer-round.js';

const [seed = 1, seconds = 60] = process.argv.slice(2).map(Number);
const {violation, ...summary} = await runPeerRound({seed, durationMs: seconds * 1000});
process.stdout.write(`${JSON.stringify(summary)}\n`);
if (violation) {
	process.stdout.write(`${violation.what}\n${violation.plays.map(play => `${JSON.stringify(play)}\n`).join('')}`);
	process.exitCode = 1;
}
