import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {MAX_REQUESTED_PAUSE_MS, RequestedPauses} from '@pomelopick/steering.servers';
import type {ServerStart} from '@pomelopick/steering.servers';
import type {BackendServerName} from '@pomelopick/core.types';

const server: ServerStart = {name: 'a' as BackendServerName, startedAtMs: 1};

const cases: ReadonlyArray<{name: string; asked: ReadonlyArray<{atMs: number; pauseMs: number}>; nowMs: number; expected: number | undefined}> = [
	{
		name: 'none was asked for', asked: [], nowMs: 0, expected: undefined,
	},
	{
		name: 'one is under way', asked: [{atMs: 100, pauseMs: 2000}], nowMs: 2099, expected: 2100,
	},
	{
		name: 'one has ended', asked: [{atMs: 100, pauseMs: 2000}], nowMs: 2100, expected: undefined,
	},
	{
		name: 'a shorter one came later', asked: [{atMs: 0, pauseMs: 4000}, {atMs: 500, pauseMs: 100}], nowMs: 700, expected: 4000,
	},
	{
		name: 'a longer one came later', asked: [{atMs: 0, pauseMs: 1000}, {atMs: 500, pauseMs: 1000}], nowMs: 1200, expected: 1500,
	},
	{
		name: 'one of no length', asked: [{atMs: 0, pauseMs: 0}], nowMs: 0, expected: undefined,
	},
	{
		name: 'an absurdly long one is bounded', asked: [{atMs: 0, pauseMs: 999_999_999_000}], nowMs: 1, expected: MAX_REQUESTED_PAUSE_MS,
	},
];

describe('RequestedPauses', () => {
	for (const {name, asked, nowMs, expected} of cases) {
		it(`knows that ${name}`, () => {
			const pauses = new RequestedPauses();
			for (const {atMs, pauseMs} of asked) {
				pauses.record({server, pauseMs, nowMs: atMs});
			}

			assert.equal(pauses.endMs({server, nowMs}), expected);
		});
	}

	it('holds for one start of a server', () => {
		const pauses = new RequestedPauses();
		pauses.record({server, pauseMs: 1000, nowMs: 0});
		assert.equal(pauses.endMs({server: {...server, startedAtMs: 2}, nowMs: 1}), undefined);
		assert.equal(pauses.endMs({server: {...server, name: 'b' as BackendServerName}, nowMs: 1}), undefined);
	});

	it('never opens a server before any pause that it asked for has ended', () => {
		fc.assert(fc.property(
			fc.array(fc.record({afterMs: fc.nat(1000), pauseMs: fc.nat(5000), start: fc.nat(2)}), {maxLength: 30}),
			steps => {
				const pauses = new RequestedPauses();
				const asked: Array<{start: number; untilMs: number}> = [];
				let nowMs = 0;
				for (const {afterMs, pauseMs, start} of steps) {
					nowMs += afterMs;
					const isOpen = pauses.endMs({server: {...server, startedAtMs: start}, nowMs}) === undefined;
					const latestMs = Math.max(0, ...asked.filter(pause => pause.start === start).map(({untilMs}) => untilMs));
					assert.equal(isOpen, latestMs <= nowMs);
					pauses.record({server: {...server, startedAtMs: start}, pauseMs, nowMs});
					asked.push({start, untilMs: nowMs + pauseMs});
				}
			},
		));
	});
});
