import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LeavingServers} from '@pomelopick/steering.servers';
import type {ServerStart} from '@pomelopick/steering.servers';
import type {BackendServerName} from '@pomelopick/core.types';

const start = (name: string, startedAtMs?: number): ServerStart => ({name: name as BackendServerName, startedAtMs});

const cases: ReadonlyArray<{name: string; told: readonly ServerStart[]; asked: ServerStart; expected: boolean}> = [
	{
		name: 'a server that said nothing stays', told: [], asked: start('a', 1), expected: false,
	},
	{
		name: 'a server that said so leaves', told: [start('a', 1)], asked: start('a', 1), expected: true,
	},
	{
		name: 'its next start has not said so', told: [start('a', 1)], asked: start('a', 2), expected: false,
	},
	{
		name: 'its earlier start, told of late by the store, has not taken it back', told: [start('a', 1), start('a', 2)], asked: start('a', 1), expected: true,
	},
	{
		name: 'another server has not said so', told: [start('a', 1)], asked: start('b', 1), expected: false,
	},
	{
		name: 'a server without a time of its start leaves as well', told: [start('a')], asked: start('a'), expected: true,
	},
	{
		name: 'a start with a time is not the one without', told: [start('a')], asked: start('a', 1), expected: false,
	},
];

describe('LeavingServers', () => {
	for (const {name, told, asked, expected} of cases) {
		it(name, () => {
			const leaving = new LeavingServers();
			for (const server of told) {
				leaving.record(server);
			}

			assert.equal(leaving.has(asked), expected);
		});
	}

	it('tells only the first time that a server leaves', () => {
		const leaving = new LeavingServers();
		assert.deepEqual([leaving.record(start('a', 1)), leaving.record(start('a', 1)), leaving.record(start('a', 2))], [true, false, true]);
	});

	it('remembers a bounded number of starts, the newest', () => {
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
