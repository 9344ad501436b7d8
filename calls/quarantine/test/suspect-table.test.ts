import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {MAX_CRASHES_BEFORE_QUARANTINE, SuspectTable} from '@pomelopick/calls.quarantine';
import type {CrashEvidence, RequestFingerprint, SuspectStatus} from '@pomelopick/calls.quarantine';

interface Step {
	readonly server: string;
	readonly suspects: readonly string[];
	readonly origin?: string;
	readonly atMs?: number;
	/** Start time of the server; by default the server does not report it. */
	readonly startedAtMs?: number;
	/** Request that servers answer before this crash is recorded, and how often; once by default. */
	readonly answered?: string;
	readonly answers?: number;
	/** Period in which each suspect may have ended the server, in milliseconds; unknown by default. */
	readonly span?: readonly [fromMs: number, toMs: number];
	readonly evidence?: CrashEvidence;
}

const cases: ReadonlyArray<{name: string; steps: readonly Step[]; quarantined: readonly string[]; clear: readonly string[]}> = [
	{
		name: 'one crash with a single suspect quarantines nothing', steps: [{server: 's1', suspects: ['a']}], quarantined: [], clear: [],
	},
	{
		name: 'two crashes with the same single suspect quarantine it', steps: [{server: 's1', suspects: ['a']}, {server: 's2', suspects: ['a']}], quarantined: ['a'], clear: [],
	},
	{
		name: 'two crashes with several suspects quarantine nothing', steps: [{server: 's1', suspects: ['a', 'b']}, {server: 's2', suspects: ['a', 'c']}], quarantined: [], clear: [],
	},
	{
		name: 'three crashes quarantine their only common suspect, and the other suspects are cleared',
		steps: [{server: 's1', suspects: ['a', 'b']}, {server: 's2', suspects: ['a', 'c']}, {server: 's3', suspects: ['a', 'd']}],
		quarantined: ['a'],
		clear: ['b', 'c', 'd'],
	},
	{
		name: 'reports of two instances at about the same time are one crash',
		steps: [{server: 's1', suspects: ['a'], origin: 'one'}, {
			server: 's1', suspects: ['a'], origin: 'two', atMs: 20,
		}],
		quarantined: [],
		clear: [],
	},
	{
		name: 'reports of two instances about the same start of a server are one crash, even if far apart in time',
		steps: [{server: 's1', suspects: ['a'], startedAtMs: 7}, {
			server: 's1', suspects: ['a'], startedAtMs: 7, origin: 'two', atMs: 900,
		}],
		quarantined: [],
		clear: [],
	},
	{
		name: 'reports about two starts of a server are two crashes',
		steps: [{server: 's1', suspects: ['a'], startedAtMs: 7}, {
			server: 's1', suspects: ['a'], startedAtMs: 8, origin: 'two', atMs: 900,
		}],
		quarantined: ['a'],
		clear: [],
	},
	{
		name: 'three crashes quarantine the request common to all, whatever the order of their suspects',
		steps: [{server: 's1', suspects: ['b', 'a']}, {server: 's2', suspects: ['c', 'a']}, {server: 's3', suspects: ['b', 'a']}],
		quarantined: ['a'],
		clear: ['b', 'c'],
	},
	{
		name: 'all requests that share three crashes are quarantined, since nothing distinguishes them',
		steps: [{server: 's1', suspects: ['b', 'a']}, {server: 's2', suspects: ['b', 'a']}, {server: 's3', suspects: ['b', 'a']}],
		quarantined: ['b', 'a'],
		clear: [],
	},
	{
		name: 'a fourth crash releases a request that shared only three',
		steps: [{server: 's1', suspects: ['b', 'a']}, {server: 's2', suspects: ['b', 'a']}, {server: 's3', suspects: ['b', 'a']}, {server: 's4', suspects: ['a']}],
		quarantined: ['a'],
		clear: ['b'],
	},
	{
		name: 'late reports of another instance about the same crashes release the request that was reported first',
		steps: [
			...['s1', 's2', 's3'].map(server => ({server, suspects: ['b'], startedAtMs: 7})),
			...['s1', 's2', 's3', 's4'].map(server => ({
				server, suspects: ['a'], startedAtMs: 7, origin: 'two',
			})),
		],
		quarantined: ['a'],
		clear: ['b'],
	},
	{
		name: 'a quarantine ends when the answers of servers outnumber the crashes by far',
		steps: [...['s1', 's2', 's3'].map(server => ({server, suspects: ['a']})), {
			server: 's4', suspects: ['b'], answered: 'a', answers: 13,
		}],
		quarantined: [],
		clear: ['a'],
	},
	{
		name: 'answers between three crashes do not clear the request that is common to them',
		steps: ['s1', 's2', 's3'].map(server => ({
			server, suspects: ['a', `other-${server}`], answered: 'a', answers: 2,
		})),
		quarantined: ['a'],
		clear: [],
	},
	{
		name: 'a request that is answered in between is not quarantined if it shares only half of the crashes',
		steps: ['s1', 's2', 's3', 's4', 's5', 's6'].map((server, index) => ({server, suspects: [index % 2 === 0 ? 'a' : `other-${server}`], answered: 'a'})),
		quarantined: [],
		clear: [],
	},
	{
		name: 'two crashes with the same single suspect do not quarantine it if it was answered in between', steps: [{server: 's1', suspects: ['a']}, {server: 's2', suspects: ['a'], answered: 'a'}], quarantined: [], clear: [],
	},
	{
		name: 'of two requests that share three crashes, the one that was never answered is quarantined',
		steps: ['s1', 's2', 's3'].map(server => ({server, suspects: ['b', 'a'], answered: 'b'})),
		quarantined: ['a'],
		clear: ['b'],
	},
	{
		name: 'servers that end at the same moment count as one crash',
		steps: ['s1', 's2', 's3', 's4'].map((server, index) => ({server, suspects: ['a'], span: [index * 100, 2000] as const})),
		quarantined: [],
		clear: [],
	},
	{
		name: 'servers that end one after another count each, whenever the reports arrive',
		steps: ['s1', 's2', 's3'].map((server, index) => ({
			server, suspects: ['a', 'b'], span: [index * 700, (index * 700) + 500] as const, atMs: 5000,
		})),
		quarantined: ['a', 'b'],
		clear: [],
	},
	{
		name: 'two servers that are only unreachable do not quarantine a single suspect',
		steps: ['s1', 's2'].map(server => ({server, suspects: ['a'], evidence: 'unreachable' as const})),
		quarantined: [],
		clear: [],
	},
	{
		name: 'a restart that the same instance reports of requests sent meanwhile is the same crash as its unreachable server',
		steps: [...['s1', 's2'].map(server => ({
			server, suspects: ['a', 'b'], startedAtMs: 7, span: [0, 500] as const, evidence: 'unreachable' as const,
		})), {
			server: 's1', suspects: ['a'], startedAtMs: 7, span: [600, 3000], evidence: 'restarted',
		}],
		quarantined: [],
		clear: [],
	},
	{
		name: 'a connection that the same instance loses later, to a server whose start it does not know yet, is another crash',
		steps: [['s1', 0], ['s2', 1000], ['s1', 2000]].map(([server, fromMs]) => ({
			server: String(server), suspects: ['a', 'b'], startedAtMs: 7, span: [Number(fromMs), Number(fromMs) + 500] as const,
		})),
		quarantined: ['a', 'b'],
		clear: [],
	},
	...[[0, 1, 2], [2, 1, 0]].map(order => ({
		// Merged into the first crash, the third one overlapped the second, and the quarantine ended with it.
		name: `a connection that another instance loses long after a crash, to a server whose start no instance knows yet, is another crash (reports in the order ${order.join(', ')})`,
		steps: order.map(index => ({
			server: index === 1 ? 's2' : 's1', suspects: ['a'], startedAtMs: 7, origin: `instance-${index}`, span: [index * 2000, (index * 2000) + 500] as const,
		})),
		quarantined: ['a'],
		clear: [],
	})),
	{
		name: 'a connection that another instance loses with requests that ran at the time of a crash is the same crash, even if reported late',
		steps: [0, 900].map((fromMs, index) => ({
			server: 's1', suspects: ['a'], startedAtMs: 7, origin: `instance-${index}`, span: [fromMs, fromMs + 500] as const, atMs: index * 5000,
		})),
		quarantined: [],
		clear: [],
	},
	{
		name: 'a connection that another instance loses later to an unreachable server is the same crash',
		steps: (['unreachable', 'connection-lost'] as const).map((evidence, index) => ({
			server: 's1', suspects: ['a'], startedAtMs: 7, origin: `instance-${index}`, span: [index * 3000, (index * 3000) + 500] as const, evidence,
		})),
		quarantined: [],
		clear: [],
	},
	{
		name: 'a restart that another instance reports later is the same crash as its unreachable server',
		steps: ['s1', 's1', 's2'].map((server, index) => ({
			server, suspects: ['a', 'b'], startedAtMs: 7, origin: `instance-${index}`, evidence: index === 1 ? 'restarted' as const : 'unreachable' as const,
		})),
		quarantined: [],
		clear: [],
	},
];

const fingerprint = (name: string): RequestFingerprint => name as RequestFingerprint;

function play(steps: readonly Step[]): SuspectTable {
	const table = new SuspectTable();
	for (const [index, {server, suspects, origin = 'one', atMs = index * 1000, startedAtMs, answered, answers = 1, span, evidence}] of steps.entries()) {
		for (let count = 0; count < (answered === undefined ? 0 : answers); count += 1) {
			table.recordAnswer({fingerprint: fingerprint(answered!), nowMs: atMs});
		}

		table.record({
			crash: {
				origin: origin as InstanceId,
				sequence: index,
				server: server as BackendServerName,
				startedAtMs,
				fingerprints: suspects.map(name => fingerprint(name)),
				spans: span && suspects.map(() => ({fromMs: span[0], toMs: span[1]})),
				evidence,
				atMs,
			},
			nowMs: atMs,
		});
	}

	return table;
}

describe('SuspectTable', () => {
	for (const {name, steps, quarantined, clear} of cases) {
		it(name, () => {
			const table = play(steps);
			assert.deepEqual(table.listQuarantined({nowMs: steps.length * 1000}).map(request => request.fingerprint), quarantined);
			assert.deepEqual(clear.filter(suspect => table.isSuspect(fingerprint(suspect))), []);
		});
	}

	it('quarantines a request that was the only suspect of two crashes for a short time only', () => {
		const table = play([{server: 's1', suspects: ['a']}, {server: 's2', suspects: ['a']}]);
		const statuses = [2000, 29_000, 31_000, 600_000].map(nowMs => table.statusOf({fingerprint: fingerprint('a'), nowMs}));
		assert.deepEqual(statuses, ['convicted', 'convicted', 'suspect', 'suspect']);
	});

	it('gives the same statuses for the same reports in any order', () => {
		const names = ['a', 'b', 'c', 'd'] as const;
		const report = fc.record({origin: fc.constantFrom('one', 'two', 'three'), server: fc.constantFrom('s1', 's2', 's3', 's4'), suspects: fc.subarray([...names], {minLength: 1})});
		const reports = fc.uniqueArray(report, {selector: ({origin, server}) => `${origin} ${server}`, minLength: 1, maxLength: 12});
		const shuffled = reports.chain(list => fc.tuple(fc.constant(list), fc.shuffledSubarray(list, {minLength: list.length})));
		const statusesOf = (steps: readonly Step[]): readonly SuspectStatus[] => {
			const table = play(steps.map(step => ({...step, startedAtMs: 7, atMs: 0})));
			return names.map(name => table.statusOf({fingerprint: fingerprint(name), nowMs: 0}));
		};

		fc.assert(fc.property(shuffled, ([list, other]) => {
			assert.deepEqual(statusesOf(other), statusesOf(list));
		}), {seed: 26});
	});

	it('quarantines a request that crashes every server after at most the stated number of crashes, whatever other requests share them', () => {
		fc.assert(fc.property(fc.array(fc.array(fc.constantFrom('b', 'c', 'd', 'e'), {maxLength: 4}), {minLength: MAX_CRASHES_BEFORE_QUARANTINE, maxLength: 6}), neighbours => {
			const table = new SuspectTable();
			let crashes = 0;
			for (const [index, names] of neighbours.entries()) {
				if (table.isQuarantined({fingerprint: fingerprint('a'), nowMs: index * 1000})) {
					break;
				}

				crashes += 1;
				table.record({
					crash: {
						origin: 'one' as InstanceId,
						sequence: index,
						server: `s${index}` as BackendServerName,
						fingerprints: ['a', ...new Set(names)].map(name => fingerprint(name)),
						atMs: index * 1000,
					},
					nowMs: index * 1000,
				});
			}

			assert.ok(crashes <= MAX_CRASHES_BEFORE_QUARANTINE, `${crashes} crashes`);
		}), {seed: 6});
	});
});
