import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {MOST_DEATHS_BEFORE_CONVICTION, SuspectTable} from '@pomelopick/calls.quarantine';
import type {RequestFingerprint, SuspectStatus} from '@pomelopick/calls.quarantine';

interface Step {
	readonly server: string;
	readonly suspects: readonly string[];
	readonly origin?: string;
	readonly atMs?: number;
	/** Start of the server; by default it does not tell. */
	readonly startedAtMs?: number;
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
		name: 'two instances that tell of one death far apart count it once',
		steps: [{server: 's1', suspects: ['a'], startedAtMs: 7}, {
			server: 's1', suspects: ['a'], startedAtMs: 7, origin: 'two', atMs: 900,
		}],
		convicted: [],
		clear: [],
	},
	{
		name: 'two starts of one server are two deaths',
		steps: [{server: 's1', suspects: ['a'], startedAtMs: 7}, {
			server: 's1', suspects: ['a'], startedAtMs: 8, origin: 'two', atMs: 900,
		}],
		convicted: ['a'],
		clear: [],
	},
	{
		name: 'three deaths convict the common request, whichever was in flight first',
		steps: [{server: 's1', suspects: ['b', 'a']}, {server: 's2', suspects: ['c', 'a']}, {server: 's3', suspects: ['b', 'a']}],
		convicted: ['a'],
		clear: ['b', 'c'],
	},
	{
		name: 'requests that shared all three deaths are all convicted, since nothing tells them apart',
		steps: [{server: 's1', suspects: ['b', 'a']}, {server: 's2', suspects: ['b', 'a']}, {server: 's3', suspects: ['b', 'a']}],
		convicted: ['b', 'a'],
		clear: [],
	},
	{
		name: 'a fourth death frees what shared only three',
		steps: [{server: 's1', suspects: ['b', 'a']}, {server: 's2', suspects: ['b', 'a']}, {server: 's3', suspects: ['b', 'a']}, {server: 's4', suspects: ['a']}],
		convicted: ['a'],
		clear: ['b'],
	},
	{
		name: 'a late report of the deaths frees the request that was told of first',
		steps: [
			...['s1', 's2', 's3'].map(server => ({server, suspects: ['b'], startedAtMs: 7})),
			...['s1', 's2', 's3', 's4'].map(server => ({
				server, suspects: ['a'], startedAtMs: 7, origin: 'two',
			})),
		],
		convicted: ['a'],
		clear: ['b'],
	},
	{
		name: 'a conviction ends with an answer of a server',
		steps: [{server: 's1', suspects: ['a']}, {server: 's2', suspects: ['a']}, {server: 's3', suspects: ['a']}, {server: 's4', suspects: ['b'], cleared: 'a'}],
		convicted: [],
		clear: ['a'],
	},
	{
		name: 'reports of deaths from before an answer do not count against the request',
		steps: [{server: 's1', suspects: ['a']}, {server: 's2', suspects: ['a'], cleared: 'a'}, {server: 's3', suspects: ['a']}],
		convicted: [],
		clear: ['a'],
	},
	{
		name: 'a success in between starts again', steps: [{server: 's1', suspects: ['a']}, {server: 's2', suspects: ['a'], cleared: 'a'}], convicted: [], clear: [],
	},
];

const fingerprint = (name: string): RequestFingerprint => name as RequestFingerprint;

function play(steps: readonly Step[]): SuspectTable {
	const table = new SuspectTable();
	for (const [index, {server, suspects, origin = 'one', atMs = index * 1000, startedAtMs, cleared}] of steps.entries()) {
		if (cleared !== undefined) {
			table.clear({fingerprint: fingerprint(cleared), nowMs: atMs});
		}

		table.record({
			death: {
				origin: origin as InstanceId, sequence: index, server: server as BackendServerName, startedAtMs, fingerprints: suspects.map(name => fingerprint(name)), atMs,
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
			assert.deepEqual(table.listQuarantined({nowMs: steps.length * 1000}).map(conviction => conviction.fingerprint), convicted);
			assert.deepEqual(clear.filter(suspect => table.isSuspect(fingerprint(suspect))), []);
		});
	}

	it('holds a request that was alone at two deaths for a short time only', () => {
		const table = play([{server: 's1', suspects: ['a']}, {server: 's2', suspects: ['a']}]);
		const standings = [2000, 29_000, 31_000, 600_000].map(nowMs => table.statusOf({fingerprint: fingerprint('a'), nowMs}));
		assert.deepEqual(standings, ['convicted', 'convicted', 'suspect', 'suspect']);
	});

	it('makes the same of the same reports in any order', () => {
		const names = ['a', 'b', 'c', 'd'] as const;
		const report = fc.record({origin: fc.constantFrom('one', 'two', 'three'), server: fc.constantFrom('s1', 's2', 's3', 's4'), suspects: fc.subarray([...names], {minLength: 1})});
		const reports = fc.uniqueArray(report, {selector: ({origin, server}) => `${origin} ${server}`, minLength: 1, maxLength: 12});
		const shuffled = reports.chain(list => fc.tuple(fc.constant(list), fc.shuffledSubarray(list, {minLength: list.length})));
		const standingsOf = (steps: readonly Step[]): readonly SuspectStatus[] => {
			const table = play(steps.map(step => ({...step, startedAtMs: 7, atMs: 0})));
			return names.map(name => table.statusOf({fingerprint: fingerprint(name), nowMs: 0}));
		};

		fc.assert(fc.property(shuffled, ([list, other]) => {
			assert.deepEqual(standingsOf(other), standingsOf(list));
		}), {seed: 26});
	});

	it('convicts a request that crashes every server after at most the stated number of deaths, whoever shares them', () => {
		fc.assert(fc.property(fc.array(fc.array(fc.constantFrom('b', 'c', 'd', 'e'), {maxLength: 4}), {minLength: MOST_DEATHS_BEFORE_CONVICTION, maxLength: 6}), neighbours => {
			const table = new SuspectTable();
			let deaths = 0;
			for (const [index, names] of neighbours.entries()) {
				if (table.isQuarantined({fingerprint: fingerprint('a'), nowMs: index * 1000})) {
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
