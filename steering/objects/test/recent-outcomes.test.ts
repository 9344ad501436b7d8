import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecentOutcomes} from '@pomelopick/steering.objects';
import type {OutcomeCounts} from '@pomelopick/steering.objects';
import type {ServiceName} from '@pomelopick/core.types';

const service = 'ledger' as ServiceName;

const cases: ReadonlyArray<{name: string; outcomes: ReadonlyArray<{outcome: keyof OutcomeCounts; atMs: number; of?: string}>; expected: OutcomeCounts}> = [
	{name: 'the first refusal', outcomes: [{outcome: 'refused', atMs: 0}], expected: {answered: 0, refused: 1}},
	{
		name: 'a refusal after others in the same second', outcomes: [{outcome: 'answered', atMs: 0}, {outcome: 'refused', atMs: 300}, {outcome: 'refused', atMs: 900}], expected: {answered: 1, refused: 2},
	},
	{
		name: 'a refusal at the beginning of a second, by the one before', outcomes: [{outcome: 'answered', atMs: 0}, {outcome: 'refused', atMs: 300}, {outcome: 'refused', atMs: 1000}], expected: {answered: 1, refused: 1},
	},
	{
		name: 'a refusal after a quiet time', outcomes: [{outcome: 'answered', atMs: 0}, {outcome: 'refused', atMs: 300}, {outcome: 'refused', atMs: 5000}], expected: {answered: 0, refused: 1},
	},
	{
		name: 'a refusal while another service is busy', outcomes: [{outcome: 'answered', atMs: 0, of: 'archive'}, {outcome: 'refused', atMs: 300}], expected: {answered: 0, refused: 1},
	},
];

describe('RecentOutcomes', () => {
	for (const {name, outcomes, expected} of cases) {
		it(`counts ${name}`, () => {
			const recent = new RecentOutcomes();
			const counts = outcomes.map(({outcome, atMs, of}) => recent.record({service: (of ?? service) as ServiceName, outcome, nowMs: atMs}));
			assert.deepEqual(counts.at(-1), expected);
		});
	}
});
