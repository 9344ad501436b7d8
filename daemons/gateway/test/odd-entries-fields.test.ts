/** Guards against gateways that end, or no longer follow the store, because of a record whose key or fields no server has. */
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import {OddEntriesFixture} from './odd-entries-fixture.js';
import {oddFields} from './odd-entry-cases.js';
import type {Written} from './odd-entry-cases.js';

describe('a gateway while records with odd fields are in the store', () => {
	let fixture: OddEntriesFixture;
	before(async () => {
		fixture = await OddEntriesFixture.create();
	});
	after(async () => fixture.fleet.stop());
	beforeEach(async () => fixture.startGateway());
	afterEach(async () => fixture.killGateway());
	const check = async (written: readonly Written[]): Promise<void> => fixture.check(written);

	for (const {name, written} of oddFields) {
		it(`serves requests, follows servers and starts: ${name}`, async () => check(written));
	}
});
