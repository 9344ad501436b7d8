import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {smallHebrides} from './deployments.js';
import {runHistory, startProxiedFleet} from '@pomelopick/testing.history';
import type {FaultStep, ProxiedFleet} from '@pomelopick/testing.history';

const SEED = 62_000;

const cases: ReadonlyArray<{name: string; steps: readonly FaultStep[]}> = [
	{name: 'an outage', steps: [{faults: ['store-outage'], durationMs: 900}]},
	{name: 'the same outage twice', steps: [{faults: ['store-outage'], durationMs: 500}, {faults: ['store-outage'], durationMs: 500}]},
	{name: 'slow answers', steps: [{faults: ['store-slow'], durationMs: 1500}]},
	{name: 'lost answers', steps: [{faults: ['store-answers-lost'], durationMs: 500}, {faults: ['store-answers-lost'], durationMs: 500}]},
	{name: 'one instance cut off the store', steps: [{faults: ['store-path-cut'], durationMs: 1200}]},
	{name: 'silence from the store to one instance', steps: [{faults: ['store-path-silent'], durationMs: 1500}]},
	{name: 'lost answers while an instance is killed', steps: [{faults: ['store-answers-lost', 'entry-killed'], durationMs: 700}]},
	{name: 'an outage while an instance is paused', steps: [{faults: ['store-outage', 'entry-paused'], durationMs: 1200}]},
];

describe('keyed calls while the store fails', () => {
	let proxied: ProxiedFleet;
	before(async () => {
		proxied = await startProxiedFleet({deployment: smallHebrides, entries: 4, seed: SEED});
	});
	after(async () => {
		await proxied.stop();
	});

	const run = async (index: number) => runHistory({
		proxied, service: 'ledger', seed: SEED + index, workers: 8, steps: cases[index]!.steps,
	});

	for (const [index, {name}] of cases.entries()) {
		it(`holds under ${name} (seed ${SEED + index})`, async context => {
			const {violations, summary} = await run(index);
			context.diagnostic(JSON.stringify(summary));
			assert.deepEqual(violations, []);
			assert.ok(summary.answered > 0, 'no call was answered');
		});
	}
});
