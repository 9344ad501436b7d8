import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EndedStarts} from '@pomelopick/steering.servers';
import type {BackendServerName} from '@pomelopick/core.types';

const MAX_STARTS = 4096;
const nameOf = (number: number): BackendServerName => `server-${number}` as BackendServerName;

describe('EndedStarts', () => {
	it('remembers a bounded number of starts, and forgets those first that ended first', () => {
		const ended = new EndedStarts();
		const startOf = (number: number) => ({name: nameOf(number), startedAtMs: 1, heartbeat: 1});
		for (let number = 0; number < MAX_STARTS; number += 1) {
			ended.record({server: startOf(number), end: 'removed'});
		}

		ended.record({server: startOf(0), end: 'removed'});
		ended.record({server: startOf(MAX_STARTS), end: 'removed'});
		assert.deepEqual([0, 1, 2, MAX_STARTS].map(number => ended.includes(startOf(number))), [true, false, true, true]);
	});
});
