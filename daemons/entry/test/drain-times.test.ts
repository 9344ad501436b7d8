import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {BackendServerName, ConfigurationSet} from '@pomelopick/core.types';
import {DrainTimes} from '@pomelopick/daemons.entry';
import type {DrainTiming} from '@pomelopick/daemons.entry';

interface Step {
	readonly kind: 'placed' | 'ended';
	readonly server: string;
	readonly atMs: number;
}

const placed = (server: string, atMs: number): Step => ({kind: 'placed', server, atMs});
const ended = (server: string, atMs: number): Step => ({kind: 'ended', server, atMs});

function setWith(drains: readonly string[]): ConfigurationSet {
	return {
		sites: [{name: 'site', failureDomain: 'domain'}],
		backendServers: ['one', 'two'].map(name => ({name, site: 'site'})),
		drains: drains.map(name => ({name: `drain-${name}`, target: {kind: 'backendServer', name}})),
	} as unknown as ConfigurationSet;
}

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly expected: Omit<DrainTiming, 'ageMs'>; readonly emptied: readonly number[]}> = [
	{
		name: 'no times when the server had no calls', steps: [], expected: {}, emptied: [0],
	},
	{
		name: 'the end of a call that was placed before the drain', steps: [placed('one', -500), ended('one', 700)], expected: {lastCallEndedMs: 700}, emptied: [700],
	},
	{
		name: 'the last new call and the last end of a call',
		steps: [placed('one', -500), placed('one', 40), ended('one', 60), ended('one', 900)],
		expected: {lastNewCallMs: 40, lastCallEndedMs: 900},
		emptied: [900],
	},
	{
		name: 'no times for calls at other servers', steps: [placed('two', -500), placed('two', 40), ended('two', 60)], expected: {}, emptied: [0],
	},
];

describe('the times of a drain', () => {
	for (const {
		name, steps, expected, emptied,
	} of cases) {
		it(`show ${name}`, () => {
			let nowMs = 0;
			const inProgress = new Map<BackendServerName, number>();
			const emptiedAtMs: number[] = [];
			const times = new DrainTimes({
				now: () => nowMs, inProgress: () => inProgress, onEmpty() {
					emptiedAtMs.push(nowMs);
				},
			});
			const apply = ({kind, server, atMs}: Step): void => {
				nowMs = atMs;
				const key = server as BackendServerName;
				const count = (inProgress.get(key) ?? 0) + (kind === 'placed' ? 1 : -1);
				if (count === 0) {
					inProgress.delete(key);
				} else {
					inProgress.set(key, count);
				}

				if (kind === 'placed') {
					times.recordPlaced(key);
				} else {
					times.recordEnded(key);
				}
			};

			for (const step of steps.filter(({atMs}) => atMs < 0)) {
				apply(step);
			}

			nowMs = 0;
			times.useSet(setWith(['one']));
			for (const step of steps.filter(({atMs}) => atMs >= 0)) {
				apply(step);
			}

			nowMs = 1000;
			times.useSet(setWith(['one', 'two']));
			assert.deepEqual(times.timing('drain-one'), {ageMs: 1000, ...expected});
			assert.deepEqual(emptiedAtMs.filter(atMs => atMs < 1000), emptied);
			times.useSet(setWith([]));
			assert.equal(times.timing('drain-one'), undefined);
		});
	}
});
