import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LeavingServers} from '@pomelopick/steering.servers';
import type {ServerStart} from '@pomelopick/steering.servers';
import type {BackendServerName} from '@pomelopick/core.types';

const start = (name: string, startedAtMs?: number): ServerStart => ({name: name as BackendServerName, startedAtMs});

const cases: ReadonlyArray<{name: string; reported: readonly ServerStart[]; queried: ServerStart; expected: boolean}> = [
	{
		name: 'a server that reported nothing is not leaving', reported: [], queried: start('a', 1), expected: false,
	},
	{
		name: 'a server that reported it is leaving', reported: [start('a', 1)], queried: start('a', 1), expected: true,
	},
	{
		name: 'its next start is not leaving', reported: [start('a', 1)], queried: start('a', 2), expected: false,
	},
	{
		name: 'its earlier start is still leaving after the next start reported it too', reported: [start('a', 1), start('a', 2)], queried: start('a', 1), expected: true,
	},
	{
		name: 'another server is not leaving', reported: [start('a', 1)], queried: start('b', 1), expected: false,
	},
	{
		name: 'a server without a start time can be leaving', reported: [start('a')], queried: start('a'), expected: true,
	},
	{
		name: 'a start with a start time differs from one without', reported: [start('a')], queried: start('a', 1), expected: false,
	},
];

describe('LeavingServers', () => {
	for (const {name, reported, queried, expected} of cases) {
		it(name, () => {
			const leaving = new LeavingServers();
			for (const server of reported) {
				leaving.record(server);
			}

			assert.equal(leaving.has(queried), expected);
		});
	}

	it('returns true only for the first report of a start', () => {
		const leaving = new LeavingServers();
		assert.deepEqual([leaving.record(start('a', 1)), leaving.record(start('a', 1)), leaving.record(start('a', 2))], [true, false, true]);
	});

	it('keeps a bounded number of starts, the newest ones', () => {
		const leaving = new LeavingServers();
		const starts = Array.from({length: 20_000}, (_, index) => start(`server-${index}`, index));
		for (const server of starts) {
			leaving.record(server);
		}

		assert.ok(leaving.has(starts.at(-1)!));
		assert.ok(leaving.has(starts.at(-5000)!));
		assert.ok(!leaving.has(starts[0]!));
	});
});
