import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {smallHebrides} from './deployments.js';
import {runHistory, startProxiedFleet} from '@pomelopick/testing.history';
import type {FaultStep, ProxiedFleet} from '@pomelopick/testing.history';

const SEED = 61_000;

const cases: ReadonlyArray<{name: string; steps: readonly FaultStep[]}> = [
	{name: 'no fault', steps: [{faults: [], durationMs: 500}]},
	{name: 'an instance killed', steps: [{faults: ['entry-killed'], durationMs: 700}]},
	{name: 'an instance paused past the deadlines', steps: [{faults: ['entry-paused'], durationMs: 2000}]},
	{name: 'an instance paused twice', steps: [{faults: ['entry-paused'], durationMs: 900}, {faults: ['entry-paused'], durationMs: 900}]},
	{name: 'the path from callers cut', steps: [{faults: ['callers-cut'], durationMs: 700}]},
	{name: 'silence towards callers', steps: [{faults: ['callers-silent'], durationMs: 700}]},
	{name: 'one killed while another is paused', steps: [{faults: ['entry-killed', 'entry-paused'], durationMs: 1500}]},
];

describe('keyed calls while instances fail', () => {
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
