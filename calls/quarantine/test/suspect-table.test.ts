import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {MOST_DEATHS_BEFORE_CONVICTION, SuspectTable} from '@pomelopick/calls.quarantine';
import type {RequestFingerprint} from '@pomelopick/calls.quarantine';

interface Step {
	readonly server: string;
	readonly suspects: readonly string[];
	readonly origin?: string;
	readonly atMs?: number;
	/** Cleared before this death. */
	readonly cleared?: string;
}

const cases: ReadonlyArray<{name: string; steps: readonly Step[]; convicted: readonly string[]; clear: readonly string[]}> = [
	{
		name: 'one lone death convicts nobody', steps: [{server: 's1', suspects: ['a']}], convicted: [], clear: [],
	},
	{
		name: 'two lone deaths convict', steps: [{server: 's1', suspects: ['a']}, {server: 's2', suspects: ['a']}], convicted: ['a'], clear: [],
	},
	{
		name: 'two shared deaths do not convict', steps: [{server: 's1', suspects: ['a', 'b']}, {server: 's2', suspects: ['a', 'c']}], convicted: [], clear: [],
	},
	{
		name: 'three shared deaths convict the common one and clear its neighbours',
		steps: [{server: 's1', suspects: ['a', 'b']}, {server: 's2', suspects: ['a', 'c']}, {server: 's3', suspects: ['a', 'd']}],
		convicted: ['a'],
		clear: ['b', 'c', 'd'],
	},
	{
		name: 'two instances that report one death count it once',
		steps: [{server: 's1', suspects: ['a'], origin: 'one'}, {
			server: 's1', suspects: ['a'], origin: 'two', atMs: 20,
		}],
		convicted: [],
		clear: [],
	},
	{
		name: 'a success in between starts again', steps: [{server: 's1', suspects: ['a']}, {server: 's2', suspects: ['a'], cleared: 'a'}], convicted: [], clear: [],
	},
];

const fingerprint = (name: string): RequestFingerprint => name as RequestFingerprint;

function play(steps: readonly Step[]): SuspectTable {
	const table = new SuspectTable();
	for (const [index, {server, suspects, origin = 'one', atMs = index * 1000, cleared}] of steps.entries()) {
		if (cleared !== undefined) {
			table.clear(fingerprint(cleared));
		}

		table.record({
			death: {
				origin: origin as InstanceId, sequence: index, server: server as BackendServerName, fingerprints: suspects.map(name => fingerprint(name)), atMs,
			},
			nowMs: atMs,
		});
	}

	return table;
}

describe('the table of suspects', () => {
	for (const {name, steps, convicted, clear} of cases) {
		it(name, () => {
			const table = play(steps);
			assert.deepEqual(table.listConvictions().map(conviction => conviction.fingerprint), convicted);
			assert.deepEqual(clear.filter(suspect => table.isSuspect(fingerprint(suspect))), []);
		});
	}

	it('convicts a request that crashes every server after at most the stated number of deaths, whoever shares them', () => {
		fc.assert(fc.property(fc.array(fc.array(fc.constantFrom('b', 'c', 'd', 'e'), {maxLength: 4}), {minLength: MOST_DEATHS_BEFORE_CONVICTION, maxLength: 6}), neighbours => {
			const table = new SuspectTable();
			let deaths = 0;
			for (const [index, names] of neighbours.entries()) {
				if (table.isConvicted({fingerprint: fingerprint('a'), nowMs: index * 1000})) {
					break;
				}

				deaths += 1;
				table.record({
					death: {
						origin: 'one' as InstanceId,
						sequence: index,
						server: `s${index}` as BackendServerName,
						fingerprints: ['a', ...new Set(names)].map(name => fingerprint(name)),
						atMs: index * 1000,
					},
					nowMs: index * 1000,
				});
			}

			assert.ok(deaths <= MOST_DEATHS_BEFORE_CONVICTION, `${deaths} deaths`);
		}), {seed: 6});
	});
});
