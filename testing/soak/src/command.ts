/** `npm run soak -- --minutes N --seed N`: exits 1 when a property was broken. */
import {Command, Option} from 'clipanion';
import {
	cascade, isAtLeast, isInteger, isNumber,
} from 'typanion';
import {soak} from './soak.js';
import type {SoakRound} from './soak.js';

const MILLISECONDS_PER_MINUTE = 60_000;
const MOST_SEED = 2_000_000_000;

/** Runs a soak and prints a line a round. */
export class SoakCommand extends Command {
	static override paths = [Command.Default];

	minutes = Option.String('--minutes', '10', {validator: cascade(isNumber(), [isAtLeast(0)]), description: 'how long to go on'});
	seed = Option.String('--seed', {validator: cascade(isNumber(), [isInteger(), isAtLeast(0)]), description: 'seed of the first round; the next round takes the next'});

	override async execute(): Promise<number> {
		const seed = this.seed ?? Date.now() % MOST_SEED;
		this.context.stdout.write(`seed ${seed}\n`);
		const rounds = await soak({
			durationMs: this.minutes * MILLISECONDS_PER_MINUTE, seed, onRound: round => {
				this.context.stdout.write(renderRound(round));
			},
		});
		const broken = rounds.filter(({violations}) => violations.length > 0);
		const copies = sum(rounds.map(({summary}) => summary.copies));
		const executions = sum(rounds.map(({summary}) => summary.executions));
		const violations = sum(rounds.map(round => round.violations.length));
		this.context.stdout.write(`${rounds.length} rounds, ${copies} copies, ${executions} executions, ${violations} violations in ${broken.length} rounds\n`);
		return broken.length > 0 ? 1 : 0;
	}
}

function renderRound({seed, deployment, steps, violations, summary}: SoakRound): string {
	const faults = steps.map(step => `${step.faults.join('+') || 'none'} ${step.durationMs}ms`).join(', ');
	const {copies, answered, replayed, silent, lostOutcomes, refusals} = summary;
	const counts = `copies=${copies} answered=${answered} replayed=${replayed} silent=${silent} lost-outcomes=${lostOutcomes}`;
	const lines = violations.map(violation => `  VIOLATION ${violation.property} ${violation.subject}: ${violation.detail}\n`);
	return `seed ${seed} ${deployment}: ${faults}: ${counts} refusals=${JSON.stringify(refusals)}\n${lines.join('')}`;
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
