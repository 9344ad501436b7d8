/** Guards against gateways that end, or no longer follow the store, because of a record whose key or fields no server has. */
import {describe, it} from 'node:test';
import {useOddEntriesFixture} from './odd-entries-fixture.js';
import {oddFields} from './odd-entry-cases.js';

describe('a gateway while records with odd fields are in the store', () => {
	const fixture = useOddEntriesFixture();
	for (const {name, written} of oddFields) {
		it(`serves requests, follows servers and starts: ${name}`, async () => fixture().check(written));
	}
});
