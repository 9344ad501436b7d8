import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Cancellation} from '@pomelopick/calls.forwarding';
import {OwnerGroup} from '@pomelopick/calls.placement';
import type {SlotAnswer} from '@pomelopick/calls.placement';
import type {
	ConfigurationSet, InstanceId, RegionName, Service, ServiceName,
} from '@pomelopick/core.types';

const region = 'north' as RegionName;
const emptySet = {
	failureDomains: [], sites: [], backendServers: [], drains: [],
} as unknown as ConfigurationSet;
const service: Service = {
	name: 'orders' as ServiceName, priority: 'interactive', queueCalls: 4, answerBytes: 2048, defaultTimeoutMs: 1000,
};

/** Requests a slot from a new group, which grants none yet, so that the request has to wait. */
async function acquireFromNewGroup(cancellation: Cancellation): Promise<SlotAnswer> {
	const group = new OwnerGroup({
		set: emptySet, service, region, now: () => 0, draw: () => 0, admitShift: () => undefined, onSpillEnd() {/* No calls come from other regions. */},
	});
	return group.acquire({
		request: {
			slotId: 'entry-1 1',
			asker: 'entry-1' as InstanceId,
			caller: '10.0.0.1',
			fromRegion: region,
			patienceMs: 100,
			timeLeftMs: 1000,
			avoidServers: new Set(),
			avoidDomains: new Set(),
			isSubstitute: false,
			isHedge: false,
			isLastChoice: true,
		},
		cancellation,
	});
}

describe('OwnerGroup', () => {
	const cases: ReadonlyArray<{name: string; isEarly: boolean}> = [
		{name: 'does not queue a request that is already cancelled', isEarly: true},
		{name: 'removes a request from the queue when it is cancelled while waiting', isEarly: false},
	];
	for (const {name, isEarly} of cases) {
		it(name, async () => {
			const cancellation = new Cancellation();
			if (isEarly) {
				cancellation.cancel();
			}

			const acquiring = acquireFromNewGroup(cancellation);
			cancellation.cancel();
			const answer = await acquiring;
			assert.equal(answer.swap().map(({reason}) => reason).orDefault('queue-full'), 'caller-cancelled');
		});
	}
});
