import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {EitherAsync, Left, Right} from 'purify-ts';
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
				store: fixture.store, record, onState() {/* Checked in the store. */}, onFailure() {/* The registration retries. */}, sleep: async () => sleep(20), now: () => performance.now(),
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

	it('writes a changed record once, no more often than every fourth renewal, and nothing while it does not change', async () => {
		const written: InstanceRecord[] = [];
		const count = {renewals: 0};
		const renewalsAtWrites: number[] = [];
		let failures = 0;
		const store = {
			grantLease: () => EitherAsync.liftEither(Right('lease')),
			revokeLease: () => EitherAsync.liftEither(Right(undefined)),
			renewLease() {
				count.renewals += 1;
				return EitherAsync.liftEither(Right(true));
			},
			put({value}: {readonly value: Uint8Array}) {
				written.push(JSON.parse(new TextDecoder().decode(value)) as InstanceRecord);
				renewalsAtWrites.push(count.renewals);
				failures -= 1;
				return EitherAsync.liftEither(failures >= 0 ? Left({code: 'unavailable', message: 'no response'}) : Right(undefined));
			},
		};
		const registration = new Registration({
			store: store as never, record, onState() {/* Counted in the store. */}, onFailure() {/* The registration retries. */}, sleep: async () => sleep(1), now: () => performance.now(),
		});
		const running = registration.run();
		await until(() => count.renewals >= 20);
		assert.equal(written.length, 1);
		for (let change = 0; change < 10; change += 1) {
			registration.update(change % 2 === 0 ? {...record, isFull: true} : record);
			const after = count.renewals + 1;
			await until(() => count.renewals >= after);
		}

		failures = 2;
		registration.update({...record, isFull: true});
		const before = written.length;
		await until(() => written.length >= before + 3);
		const seen = count.renewals;
		await until(() => count.renewals >= seen + 20);
		await registration.leave();
		await running;
		const gaps = renewalsAtWrites.slice(1).map((renewal, index) => renewal - renewalsAtWrites[index]!);
		assert.ok(gaps.every(gap => gap >= 4), JSON.stringify(gaps));
		assert.equal(written.length, before + 3);
		assert.equal(written.at(-1)!.isFull, true);
	});
});
