import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RateLimitSharing} from '@pomelopick/calls.rate-limits';
import {DecisionLog, ServedCounters} from '@pomelopick/core.telemetry';
import type {BackendServerName} from '@pomelopick/core.types';
import {NamedRateLimits} from '@pomelopick/steering.servers';
import type {RateLimitRecord, ServerStart} from '@pomelopick/steering.servers';

const server: ServerStart = {name: 'a' as BackendServerName, startedAtMs: 1};

function createFixture() {
	const told: Array<number | undefined> = [];
	const limited: string[] = [];
	const lines: string[] = [];
	let newRecords = 0;
	let nowMs = 0;
	const rateLimits = new NamedRateLimits();
	const sharing = new RateLimitSharing({
		rateLimits,
		broadcast(takeRecords) {
			told.push(...takeRecords().map(({requestsPerSecond}) => requestsPerSecond));
		},
		onNewRecord() {
			newRecords += 1;
		},
		onLimited({name}) {
			limited.push(name);
		},
		counters: new ServedCounters(),
		log: new DecisionLog({
			write(line) {
				lines.push(line);
				return true;
			}, common: {}, wallClock: () => 0,
		}),
		now: () => nowMs,
		wallClock: () => 1000,
	});
	return {
		sharing,
		told,
		limited,
		lines,
		rateLimits,
		countNewRecords: () => newRecords,
		hear(requestsPerSecond: number | undefined) {
			nowMs += 10;
			sharing.hear({
				server, requestsPerSecond, sentAtMs: nowMs, detail: 'heard',
			});
		},
	};
}

const cases: ReadonlyArray<{name: string; heard: ReadonlyArray<number | undefined>; told: ReadonlyArray<number | undefined>; limited: number}> = [
	{
		name: 'no limit', heard: [undefined, undefined], told: [], limited: 0,
	},
	{
		name: 'a limit once, however often it is named', heard: [2, 2, 2], told: [2], limited: 1,
	},
	{
		name: 'the end of a limit', heard: [2, undefined, undefined], told: [2, undefined], limited: 1,
	},
	{
		name: 'a limit that is named again', heard: [2, undefined, 2], told: [2, undefined, 2], limited: 2,
	},
	{
		name: 'a limit that changes much', heard: [50, 2, 12], told: [50, 2, 12], limited: 1,
	},
	{
		name: 'no small changes', heard: [2, 2.1, 1.9, 2.2], told: [2], limited: 1,
	},
	{
		name: 'small changes that add up', heard: [2, 2.3, 2.6], told: [2, 2.6], limited: 1,
	},
];

describe('RateLimitSharing', () => {
	for (const {name, heard, told: expected, limited: expectedLimited} of cases) {
		it(`tells all instances ${name}`, () => {
			const {hear, told, limited} = createFixture();
			for (const requestsPerSecond of heard) {
				hear(requestsPerSecond);
			}

			assert.deepEqual(told, expected);
			assert.equal(limited.length, expectedLimited, 'attempts that wait for a connection are taken back');
		});
	}

	it('applies what others report once, and does not tell it again', () => {
		const {sharing, told, limited, lines, countNewRecords} = createFixture();
		const record: RateLimitRecord = {...server, requestsPerSecond: 2, version: 2000};
		for (const source of ['instance', 'instance', 'store'] as const) {
			sharing.receive({record, source});
		}

		assert.deepEqual({
			told, limited, news: countNewRecords(), lines: lines.length,
		}, {
			told: [], limited: ['a'], news: 1, lines: 1,
		});
	});

	it('ignores an outdated record of another instance', () => {
		const {sharing, hear, rateLimits} = createFixture();
		hear(2);
		sharing.receive({record: {...server, requestsPerSecond: undefined, version: 1}, source: 'store'});
		assert.equal(rateLimits.requestsPerSecond(server), 2);
	});

	it('does not tell the limit that another instance has told already', () => {
		const {sharing, hear, told} = createFixture();
		sharing.receive({record: {...server, requestsPerSecond: 2, version: 1}, source: 'instance'});
		hear(2.1);
		assert.deepEqual(told, []);
	});
});
