import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {smallHebrides} from './deployments.js';
import {runHistory, startProxiedFleet} from '@pomelopick/testing.history';
import type {FaultStep, ProxiedFleet} from '@pomelopick/testing.history';

const SEED = 63_000;

const cases: ReadonlyArray<{name: string; steps: readonly FaultStep[]}> = [
	{name: 'an owner cut off its peers', steps: [{faults: ['peers-cut'], durationMs: 1000}]},
	{name: 'silence towards an owner', steps: [{faults: ['peers-silent-to-server'], durationMs: 1200}]},
	{name: 'silence from an owner', steps: [{faults: ['peers-silent-to-client'], durationMs: 1200}]},
	{name: 'a backend server killed twice', steps: [{faults: ['backend-killed'], durationMs: 400}, {faults: ['backend-killed'], durationMs: 400}]},
	{name: 'a backend server drained', steps: [{faults: ['backend-drained'], durationMs: 600}]},
	{name: 'late answers', steps: [{faults: ['backend-late'], durationMs: 1500}]},
	{name: 'truncated answers', steps: [{faults: ['backend-truncates'], durationMs: 700}]},
	{name: 'a backend server killed while an owner is silent', steps: [{faults: ['backend-killed', 'peers-silent-to-client'], durationMs: 900}]},
];

describe('keyed calls while peers and backend servers fail', () => {
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
