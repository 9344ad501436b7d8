/** Runs a table of faults against one fleet and checks the history of each run. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {runHistory, startProxiedFleet} from '@pomelopick/testing.history';
import type {FaultStep, ProxiedFleet} from '@pomelopick/testing.history';
import {smallHebrides} from './deployments.js';

const ENTRIES = 4;
const WORKERS = 8;

/** One row of the table. */
export interface FaultCase {
	readonly name: string;
	readonly steps: readonly FaultStep[];
}

/** Options of {@link describeFaultCases}. */
export interface DescribeFaultCasesOptions {
	readonly title: string;
	/** Seed of the fleet; a case's own is this one and its position. */
	readonly seed: number;
	readonly cases: readonly FaultCase[];
}

/** Registers a test a case. */
export function describeFaultCases({title, seed, cases}: DescribeFaultCasesOptions): void {
	describe(title, () => {
		let proxied: ProxiedFleet;
		before(async () => {
			proxied = await startProxiedFleet({deployment: smallHebrides, entries: ENTRIES, seed});
		});
		after(async () => {
			await proxied.stop();
		});

		const run = async (index: number) => runHistory({
			proxied, service: 'ledger', seed: seed + index, workers: WORKERS, steps: cases[index]!.steps,
		});

		for (const [index, {name}] of cases.entries()) {
			it(`holds under ${name} (seed ${seed + index})`, async context => {
				const {violations, summary} = await run(index);
				context.diagnostic(JSON.stringify(summary));
				assert.deepEqual(violations, []);
				assert.ok(summary.answered > 0, 'no call was answered');
			});
		}
	});
}
