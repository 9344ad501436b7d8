/** `npm run soak:shares [-- ROUNDS]`: one organisation of many sends seven times its usual at a service of real processes; judges what the others keep. */
import process from 'node:process';
import {checkFairShares} from './fair-share-check.js';
import {runShareRound, SHARE_ROUND_CAPACITY} from './share-round.js';

const DEFAULT_ROUNDS = '1';
const GATEWAYS = 2;
const ORGANISATIONS = 10;
/** Usual load of all organisations as a share of the capacity, and the factor of the one that rises. */
const USUAL_LOAD = 0.7;
const RISE_FACTOR = 7;
/** Time in which the gateways learn, and the periods of the usual load and of the rise, in milliseconds. */
const LEARNING_MS = 2000;
const periodsMs = [9000, 6000] as const;
const BAD_ARGUMENTS_EXIT_CODE = 2;

async function playRounds(rounds: number): Promise<void> {
	const usual = SHARE_ROUND_CAPACITY * USUAL_LOAD / ORGANISATIONS;
	const senders = Array.from({length: ORGANISATIONS}, (_, number) => ({
		organisation: `organisation-${number}`, priority: 1, rates: [usual, number === 0 ? usual * RISE_FACTOR : usual],
	}));
	for (let round = 0; round < rounds; round += 1) {
		const {calls, startMs} = await runShareRound({
			senders, periodsMs, hasOrganisations: true, gateways: GATEWAYS,
		});
		const riseMs = startMs + periodsMs[0];
		const violations = checkFairShares({
			calls, before: {fromMs: startMs + LEARNING_MS, toMs: riseMs}, during: {fromMs: riseMs, toMs: riseMs + periodsMs[1]}, rising: senders[0]!.organisation,
		});
		process.stdout.write(`round ${round + 1}: ${calls.length} calls, ${violations.length} violations\n${violations.map(({detail}) => `  ${detail}\n`).join('')}`);
		process.exitCode = violations.length > 0 ? 1 : process.exitCode;
	}
}

const rounds = Number(process.argv[2] ?? DEFAULT_ROUNDS);
if (Number.isSafeInteger(rounds) && rounds > 0) {
	await playRounds(rounds);
} else {
	process.stderr.write(`expected a number of rounds, found ${JSON.stringify(process.argv[2])}\n`);
	process.exitCode = BAD_ARGUMENTS_EXIT_CODE;
}
