/** The share of an instance whose claim took effect while its registration was interrupted. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {InstanceId} from '@pomelopick/core.types';
import {ShardOwnership} from '@pomelopick/steering.quotas';

const NOW_MS = 100_000;
const ANSWER_MS = 300;

const cases: ReadonlyArray<{readonly name: string; readonly interrupt: (ownership: ShardOwnership) => void; readonly share: number}> = [
	{name: 'uses the shard when its registration went on meanwhile', interrupt() {/* It goes on. */}, share: 1},
	{
		name: 'uses nothing when its registration was lost and written again', interrupt(ownership) {
			ownership.loseRegistration(NOW_MS + 100);
			ownership.confirmRegistration({sentAtMs: NOW_MS + 200, nowMs: NOW_MS + 200});
		}, share: 0,
	},
	{
		name: 'uses nothing when its lease may have expired and was renewed', interrupt(ownership) {
			ownership.confirmRegistration({sentAtMs: NOW_MS + 5000, nowMs: NOW_MS + 5000});
		}, share: 0,
	},
	{
		name: 'uses nothing when it was suspended', interrupt(ownership) {
			ownership.recordSuspension();
			ownership.confirmRegistration({sentAtMs: NOW_MS + 200, nowMs: NOW_MS + 200});
		}, share: 0,
	},
];

describe('an instance whose claim is answered', () => {
	for (const {name, interrupt, share} of cases) {
		// Guards against a second user: another instance may have claimed the shard while this one was not registered.
		it(name, () => {
			const ownership = new ShardOwnership({self: {id: 'a' as InstanceId, process: 1}});
			ownership.confirmRegistration({sentAtMs: NOW_MS, nowMs: NOW_MS});
			const {record, registration} = ownership.prepareClaim();
			interrupt(ownership);
			const nowMs = (ownership.isRegistered(NOW_MS + 5000) ? NOW_MS + 5000 : NOW_MS) + ANSWER_MS;
			ownership.applyWrite({
				record, index: 1, registration, nowMs,
			});
			assert.equal(ownership.share(nowMs), share);
			assert.equal(ownership.prepareOwnWrite(nowMs) !== undefined, share === 0);
		});
	}
});
