import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Registration} from '@pomelopick/calls.live';
import type {InstanceRecord} from '@pomelopick/calls.live';
import type {FailureDomainName, InstanceId, RegionName} from '@pomelopick/core.types';
import {startFixture, until} from './fixture.js';
import type {Fixture} from './fixture.js';

const record: InstanceRecord = {
	id: 'a' as InstanceId, failureDomain: 'north-a' as FailureDomainName, region: 'north' as RegionName, peers: undefined, callers: {address: '10.0.0.1', port: 80},
};
const KEY = 'pomelopick/instances/a';

const losses: ReadonlyArray<{name: string; lose: (fixture: Fixture, registration: Registration) => void}> = [
	{
		name: 'its lease expired', lose({platform}) {
			const [held] = platform.keyValues.read({key: KEY, recurse: false});
			platform.keyValues.destroySession(held!.session!);
		},
	},
	{
		name: 'its key was removed while its lease is active', lose({platform}, registration) {
			platform.keyValues.delete({key: KEY});
			registration.restore();
		},
	},
];

describe('a registration', () => {
	for (const {name, lose} of losses) {
		it(`is written again after ${name}, and is removed when the instance leaves`, async () => {
			const fixture = await startFixture();
			const registration = new Registration({
				store: fixture.store, record, onState() {/* Checked in the store. */}, onFailure() {/* The registration retries. */}, sleep: async () => sleep(20),
			});
			const running = registration.run();
			const isThere = (): boolean => fixture.platform.keyValues.read({key: KEY, recurse: false}).length > 0;
			try {
				await until(isThere);
				lose(fixture, registration);
				await until(() => !isThere() || fixture.reported.filter(({subject}) => subject === 'a').length > 1);
				await until(isThere);
			} finally {
				await registration.leave();
				await running;
				const isLeft = isThere();
				await fixture.stop();
				assert.equal(isLeft, false);
			}
		});
	}
});
