import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {NamedRateLimits} from '@pomelopick/steering.servers';
import type {RateLimitRecord, ServerStart} from '@pomelopick/steering.servers';
import type {BackendServerName} from '@pomelopick/core.types';

const SEED = 32_001;
const server: ServerStart = {name: 'a' as BackendServerName, startedAtMs: 1};

interface Heard {
	readonly atMs: number;
	readonly sentAtMs: number;
	readonly requestsPerSecond: number | undefined;
}

const cases: ReadonlyArray<{name: string; heard: readonly Heard[]; expected: number | undefined}> = [
	{name: 'no response named a limit', heard: [{atMs: 100, sentAtMs: 0, requestsPerSecond: undefined}], expected: undefined},
	{name: 'a response named a limit', heard: [{atMs: 100, sentAtMs: 0, requestsPerSecond: 2.9}], expected: 2.9},
	{
		name: 'the limit falls in a response to an earlier request', heard: [{atMs: 100, sentAtMs: 50, requestsPerSecond: 4}, {atMs: 110, sentAtMs: 0, requestsPerSecond: 2}], expected: 2,
	},
	{
		name: 'the limit rises in a response to an earlier request, which may have been overtaken',
		heard: [{atMs: 100, sentAtMs: 50, requestsPerSecond: 2}, {atMs: 110, sentAtMs: 0, requestsPerSecond: 4}],
		expected: 2,
	},
	{
		name: 'the limit rises in a response to a later request', heard: [{atMs: 100, sentAtMs: 50, requestsPerSecond: 2}, {atMs: 200, sentAtMs: 100, requestsPerSecond: 4}], expected: 4,
	},
	{
		name: 'a response to an earlier request names none', heard: [{atMs: 100, sentAtMs: 50, requestsPerSecond: 2}, {atMs: 110, sentAtMs: 0, requestsPerSecond: undefined}], expected: 2,
	},
	{
		name: 'a response to a later request names none', heard: [{atMs: 100, sentAtMs: 50, requestsPerSecond: 2}, {atMs: 200, sentAtMs: 100, requestsPerSecond: undefined}], expected: undefined,
	},
	{
		name: 'the limit is named again after it ended',
		heard: [{atMs: 100, sentAtMs: 50, requestsPerSecond: 2}, {atMs: 200, sentAtMs: 100, requestsPerSecond: undefined}, {atMs: 300, sentAtMs: 0, requestsPerSecond: 3}],
		expected: 3,
	},
	{name: 'the server takes no requests', heard: [{atMs: 100, sentAtMs: 0, requestsPerSecond: 0}], expected: 0},
];

describe('NamedRateLimits', () => {
	for (const {name, heard, expected} of cases) {
		it(`returns the limit that applies when ${name}`, () => {
			const limits = new NamedRateLimits();
			for (const {atMs, sentAtMs, requestsPerSecond} of heard) {
				limits.hear({
					server, requestsPerSecond, sentAtMs, nowMs: atMs, wallClockMs: 0,
				});
			}

			assert.equal(limits.requestsPerSecond(server), expected);
		});
	}

	it('applies to one start of a server only', () => {
		const limits = new NamedRateLimits();
		limits.hear({
			server, requestsPerSecond: 2, sentAtMs: 0, nowMs: 1, wallClockMs: 0,
		});
		assert.equal(limits.requestsPerSecond({...server, startedAtMs: 2}), undefined);
		assert.equal(limits.requestsPerSecond({...server, name: 'b' as BackendServerName}), undefined);
	});

	const nextStartMs = 10_000;
	const keptCases: ReadonlyArray<{name: string; heardAtMs: number; requestsPerSecond: number | undefined; expected: number | undefined}> = [
		{
			name: 'a limit that was heard after the next start began', heardAtMs: nextStartMs + 2000, requestsPerSecond: 2, expected: 2,
		},
		{
			name: 'a limit that was heard after it by a clock that is a little behind', heardAtMs: nextStartMs - 900, requestsPerSecond: 2, expected: 2,
		},
		{
			name: 'no limit that was heard before the next start', heardAtMs: nextStartMs - 5000, requestsPerSecond: 2, expected: undefined,
		},
		{
			name: 'no end of a limit', heardAtMs: nextStartMs + 2000, requestsPerSecond: undefined, expected: undefined,
		},
	];
	for (const {name, heardAtMs, requestsPerSecond, expected} of keptCases) {
		it(`keeps for the next start: ${name}`, () => {
			const limits = new NamedRateLimits();
			limits.hear({
				server, requestsPerSecond: 3, sentAtMs: 0, nowMs: 1, wallClockMs: 1,
			});
			limits.hear({
				server, requestsPerSecond, sentAtMs: 2, nowMs: 3, wallClockMs: heardAtMs,
			});
			assert.equal(limits.keepForStart({server, startedAtMs: nextStartMs})?.requestsPerSecond, expected);
			assert.equal(limits.requestsPerSecond({...server, startedAtMs: nextStartMs}), expected);
		});
	}

	it('takes no limit that the next start has named from it', () => {
		const limits = new NamedRateLimits();
		const next: ServerStart = {...server, startedAtMs: nextStartMs};
		limits.hear({
			server, requestsPerSecond: 3, sentAtMs: 0, nowMs: 1, wallClockMs: nextStartMs + 1,
		});
		limits.hear({
			server: next, requestsPerSecond: 2, sentAtMs: 2, nowMs: 3, wallClockMs: nextStartMs + 2,
		});
		assert.equal(limits.keepForStart({server, startedAtMs: nextStartMs}), undefined);
		assert.equal(limits.requestsPerSecond(next), 2);
	});

	it('ends a limit that was kept with the first response without one', () => {
		const limits = new NamedRateLimits();
		const next: ServerStart = {...server, startedAtMs: nextStartMs};
		limits.hear({
			server, requestsPerSecond: 3, sentAtMs: 0, nowMs: 1, wallClockMs: nextStartMs + 1,
		});
		limits.keepForStart({server, startedAtMs: nextStartMs});
		limits.hear({
			server: next, requestsPerSecond: undefined, sentAtMs: 2, nowMs: 3, wallClockMs: nextStartMs + 2,
		});
		assert.equal(limits.requestsPerSecond(next), undefined);
	});

	it(`makes instances agree that exchange all records, in any order (seed ${SEED})`, () => {
		const heard = fc.record({instance: fc.nat(3), requestsPerSecond: fc.option(fc.integer({min: 1, max: 4}), {nil: undefined}), wallClockMs: fc.integer({min: 1000, max: 1003})});
		fc.assert(fc.property(fc.array(heard, {maxLength: 20}), fc.array(fc.nat(), {minLength: 80, maxLength: 80}), (steps, order) => {
			const instances = Array.from({length: 4}, () => new NamedRateLimits());
			const records: RateLimitRecord[] = steps.flatMap(({instance, requestsPerSecond, wallClockMs}, nowMs) => instances[instance]!.hear({
				server, requestsPerSecond, sentAtMs: nowMs, nowMs, wallClockMs,
			}) ?? []);
			for (const [index, limits] of instances.entries()) {
				const shuffled = records.map((record, number) => ({record, rank: order[(index * 20) + number]!})).toSorted((a, b) => a.rank - b.rank);
				for (const {record} of shuffled) {
					limits.receive({record, nowMs: 100});
				}
			}

			const [first, ...others] = instances.map(limits => limits.recordOf(server));
			assert.deepEqual(others, others.map(() => first));
		}), {seed: SEED, numRuns: 300});
	});
});
