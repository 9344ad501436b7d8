// Runs one case in a deployment of its own and turns its result into the exit code.
import process from 'node:process';
import {Deployment} from './deployment.js';
import {hasTrouble, record, writeRecord} from './record.js';

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_CANNOT_RUN = 2;
/** Time after which a case is ended, in milliseconds. */
const MAX_DURATION_MS = 110_000;

/**
 * Runs a case and ends the process.
 *
 * `play` gets the deployment and resolves with `{isBroken, verdict}`. If it rejects, the case could not run.
 */
export async function runCase({folder, play}) {
	const deployment = new Deployment();
	record('case', {trouble: hasTrouble ? 1 : 0});
	let timer;
	const timeout = new Promise((resolve, reject) => {
		timer = setTimeout(() => {
			reject(new Error('the case took too long'));
		}, MAX_DURATION_MS);
	});
	let exitCode = EXIT_CANNOT_RUN;
	let verdict;
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			deployment.killAll();
			process.exit(EXIT_CANNOT_RUN);
		});
	}

	try {
		const result = await Promise.race([play(deployment), timeout]);
		exitCode = result.isBroken ? EXIT_BROKEN : EXIT_HELD;
		verdict = `${result.isBroken ? 'the rule was broken' : 'the rule held'}: ${result.verdict}`;
	} catch (error) {
		verdict = `the case could not run: ${error.stack}`;
	}

	clearTimeout(timer);
	await deployment.stop();
	writeRecord({folder, verdict});
	process.stdout.write(`${verdict}\n`);
	process.exit(exitCode);
}
