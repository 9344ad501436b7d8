import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {MAX_REQUESTED_PAUSE_MS, RequestedPauses} from '@pomelopick/steering.servers';
import type {ServerStart} from '@pomelopick/steering.servers';
import type {BackendServerName} from '@pomelopick/core.types';

const server: ServerStart = {name: 'a' as BackendServerName, startedAtMs: 1};

const cases: ReadonlyArray<{name: string; requested: ReadonlyArray<{atMs: number; pauseMs: number}>; nowMs: number; expected: number | undefined}> = [
	{
		name: 'no pause was requested', requested: [], nowMs: 0, expected: undefined,
	},
	{
		name: 'the pause has not ended', requested: [{atMs: 100, pauseMs: 2000}], nowMs: 2099, expected: 2100,
	},
	{
		name: 'the pause has ended', requested: [{atMs: 100, pauseMs: 2000}], nowMs: 2100, expected: undefined,
	},
	{
		name: 'a shorter pause was requested later', requested: [{atMs: 0, pauseMs: 4000}, {atMs: 500, pauseMs: 100}], nowMs: 700, expected: 4000,
	},
	{
		name: 'a pause that ends later was requested later', requested: [{atMs: 0, pauseMs: 1000}, {atMs: 500, pauseMs: 1000}], nowMs: 1200, expected: 1500,
	},
	{
		name: 'the pause has no length', requested: [{atMs: 0, pauseMs: 0}], nowMs: 0, expected: undefined,
	},
	{
		name: 'a very long pause is capped', requested: [{atMs: 0, pauseMs: 999_999_999_000}], nowMs: 1, expected: MAX_REQUESTED_PAUSE_MS,
	},
];

const laterStarts: ReadonlyArray<{startedAtMs: number | undefined; expected: number | undefined}> = [
	{startedAtMs: 40, expected: 9000},
	{startedAtMs: 50, expected: 1000},
	{startedAtMs: 51, expected: undefined},
	{startedAtMs: undefined, expected: undefined},
];

describe('RequestedPauses', () => {
	for (const {name, requested, nowMs, expected} of cases) {
		it(`returns the end of the pause when ${name}`, () => {
			const pauses = new RequestedPauses();
			for (const {atMs, pauseMs} of requested) {
				pauses.record({server, pauseMs, nowMs: atMs});
			}

			assert.equal(pauses.endMs({server, nowMs}), expected);
		});
	}

	it('applies to one start of a server only', () => {
		const pauses = new RequestedPauses();
		pauses.record({server, pauseMs: 1000, nowMs: 0});
		assert.equal(pauses.endMs({server: {...server, startedAtMs: 2}, nowMs: 1}), undefined);
		assert.equal(pauses.endMs({server: {...server, name: 'b' as BackendServerName}, nowMs: 1}), undefined);
	});

	for (const {startedAtMs, expected} of laterStarts) {
		it(`requested in responses at 40 and 50 ms ends at ${expected} for a start at ${startedAtMs} that becomes known later`, () => {
			const pauses = new RequestedPauses();
			pauses.record({
				server, pauseMs: 9000, nowMs: 0, respondedAtMs: 40,
			});
			pauses.record({
				server, pauseMs: 1000, nowMs: 0, respondedAtMs: 50,
			});
			assert.equal(pauses.endMs({server: {...server, startedAtMs}, nowMs: 1}), expected);
			pauses.record({server: {...server, startedAtMs}, pauseMs: 10, nowMs: 1});
			assert.equal(pauses.endMs({server: {...server, startedAtMs}, nowMs: 2}), expected ?? 11);
		});
	}

	it('never ends a pause before every pause that the server requested has ended', () => {
		fc.assert(fc.property(
			fc.array(fc.record({afterMs: fc.nat(1000), pauseMs: fc.nat(5000), start: fc.nat(2)}), {maxLength: 30}),
			steps => {
				const pauses = new RequestedPauses();
				const requested: Array<{start: number; untilMs: number}> = [];
				let nowMs = 0;
				for (const {afterMs, pauseMs, start} of steps) {
					nowMs += afterMs;
					const isNotPaused = pauses.endMs({server: {...server, startedAtMs: start}, nowMs}) === undefined;
					const latestMs = Math.max(0, ...requested.filter(pause => pause.start === start).map(({untilMs}) => untilMs));
					assert.equal(isNotPaused, latestMs <= nowMs);
					pauses.record({server: {...server, startedAtMs: start}, pauseMs, nowMs});
					requested.push({start, untilMs: nowMs + pauseMs});
				}
			},
		));
	});
});
