import {Command, Option} from 'clipanion';
import {isClean, runDemo} from '@pomelopick/testing.demo';
import {exitCodes, PomelopickCommand} from '../context.js';

/** `pomelopick demo`: runs the demo on loopback. */
export class DemoCommand extends PomelopickCommand {
	static override paths = [['demo']];
	static override usage = Command.Usage({
		description: 'Run the demo on loopback',
		details: 'Starts both deployments with stand-ins for the platform and the backend servers, sends calls while faults are injected and checks every response.',
		examples: [['Run with a seed', '$0 demo --seed 7']],
	});

	seed = Option.String('--seed', '1', {description: 'Seed of the callers'});

	async execute(): Promise<number> {
		const seed = Number(this.seed);
		if (!Number.isSafeInteger(seed)) {
			return this.fail({error: {code: 'bad-flag', message: `--seed: expected a whole number, found ${JSON.stringify(this.seed)}`}, exitCode: exitCodes.usage});
		}

		const results = await runDemo({
			seed, report: line => {
				this.context.stderr.write(`${line}\n`);
			},
		});
		const lines = results.map(({deployment, calls, answered, silent, wrongAnswers, doubleExecutions, falseNotRun, p50Ms, p99Ms}) => [
			`${deployment}: ${answered} of ${calls} calls answered`,
			`${silent} silent`,
			`${wrongAnswers} wrong`,
			`${doubleExecutions} executed twice`,
			`${falseNotRun} falsely told "not run"`,
			`p50 ${p50Ms} ms`,
			`p99 ${p99Ms} ms`,
		].join(', '));
		this.print({document: results, text: lines.join('\n')});
		return isClean(results) ? exitCodes.success : exitCodes.refused;
	}
}
