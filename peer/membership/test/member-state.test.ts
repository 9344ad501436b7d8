import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {InstanceId} from '@pomelopick/core.types';
import {classifyMembers, OUTSIDE_VOTES_WAIT_MS, REACHED_REGION_WAIT_MS} from '@pomelopick/peer.membership';
import type {ClassifiableMember, MemberState} from '@pomelopick/peer.membership';

/** Observers that voted, by subject; `!` marks a vote for a refused connection. */
type Votes = Readonly<Record<string, readonly string[]>>;

const regions: Readonly<Record<string, string>> = {
	n1: 'north', n2: 'north', n3: 'north', s1: 'south', s2: 'south', s3: 'south', w1: 'west',
};

const observers: Readonly<Record<string, readonly string[]>> = {
	n1: ['n2', 'n3', 's1', 'w1'],
	n2: ['n3', 'n1', 's2'],
	n3: ['n1', 'n2', 's1', 's3'],
	s1: ['s2', 's3', 'n1', 'w1'],
	s2: ['s1', 's3', 'n2'],
	s3: ['s1', 's2', 'n3', 'w1'],
	w1: ['n1', 's2', 's3'],
};

function toMembers(votes: Votes): readonly ClassifiableMember[] {
	return Object.entries(regions).map(([id, region]) => ({
		id: id as InstanceId,
		region,
		observers: new Set(observers[id] as InstanceId[]),
		suspectedSinceMs: 0,
		votes: (votes[id] ?? []).map(observer => ({
			subject: id as InstanceId,
			subjectIncarnation: 1,
			observer: observer.replace('!', '') as InstanceId,
			sequence: 1,
			unreachable: true,
			refused: observer.endsWith('!'),
		})),
	}));
}

/** The deciding instance, in the south unless a case names another. */
const SELF = 's2';

const cases: ReadonlyArray<{name: string; self?: string; votes: Votes; nowMs: number; expected: Readonly<Record<string, MemberState>>}> = [
	{
		name: 'one observer of four does not make an instance dead', votes: {n1: ['s1']}, nowMs: 10_000, expected: {},
	},
	{
		name: 'half of the observers do not, so that a partition inside a region makes nobody dead', votes: {n1: ['n2', 'n3']}, nowMs: 10_000, expected: {},
	},
	{
		name: 'a majority with an observer of the same region does at once', votes: {n1: ['n2', 'n3', 's1']}, nowMs: 0, expected: {n1: 'dead'},
	},
	{
		name: 'a majority from other regions does not count before the wait', votes: {w1: ['n1', 's2']}, nowMs: OUTSIDE_VOTES_WAIT_MS - 1, expected: {w1: 'alive'},
	},
	{
		name: 'a majority from other regions counts after the wait', votes: {w1: ['n1', 's2']}, nowMs: OUTSIDE_VOTES_WAIT_MS, expected: {w1: 'dead'},
	},
	{
		name: 'refused connections count at once', votes: {w1: ['n1!', 's2!']}, nowMs: 0, expected: {w1: 'dead'},
	},
	{
		name: 'observers that are unreachable themselves do not prevent a majority',
		votes: {n1: ['s1', 'w1'], n2: ['s2'], n3: ['s1', 's3']},
		nowMs: 10_000,
		expected: {n1: 'isolated', n2: 'isolated', n3: 'isolated'},
	},
	{
		name: 'the instances of an unreachable region stay isolated, however long it lasts',
		votes: {n1: ['s1', 'w1'], n2: ['s2'], n3: ['s1', 's3']},
		nowMs: 600_000,
		expected: {n1: 'isolated', n2: 'isolated', n3: 'isolated'},
	},
	{
		name: 'an instance without an observer on this side does not make its region reached', self: 'n2', votes: {
			s1: ['n1'], s2: ['n2'], w1: ['n1'], s3: ['n3'],
		}, nowMs: 10_000, expected: {
			s1: 'isolated', s2: 'isolated', s3: 'isolated', w1: 'dead',
		},
	},
	{
		name: 'nor does an instance whose observers are all unreachable', self: 'w1', votes: {n1: ['w1'], s1: ['w1'], s3: ['w1']}, nowMs: 10_000, expected: {
			n1: 'isolated', n2: 'isolated', n3: 'isolated', s1: 'isolated', s2: 'isolated', s3: 'isolated',
		},
	},
	{
		name: 'votes from other regions do not count before the wait when the region is still reached', votes: {n1: ['s1', 's3', 'w1']}, nowMs: REACHED_REGION_WAIT_MS - 1, expected: {n1: 'alive'},
	},
	{
		name: 'and count after the wait when the region is still reached', votes: {n1: ['s1', 's3', 'w1']}, nowMs: REACHED_REGION_WAIT_MS, expected: {n1: 'dead'},
	},
	{
		name: 'a region with one reached instance is not isolated', votes: {n1: ['s1', 'w1', 'n2'], n2: ['s2', 'n1', 'n3']}, nowMs: 10_000, expected: {n1: 'dead', n2: 'dead'},
	},
];

describe('classifyMembers', () => {
	for (const {name, self = SELF, votes, nowMs, expected} of cases) {
		it(name, () => {
			assert.deepEqual(Object.fromEntries(classifyMembers({self: self as InstanceId, members: toMembers(votes), nowMs})), expected);
		});
	}
});
