/** Guards against gateways that end, or no longer follow the store, because of an entry that they cannot use. */
import {describe, it} from 'node:test';
import {until} from '@pomelopick/testing.gateway-fleet';
import {useOddEntriesFixture} from './odd-entries-fixture.js';
import {nested, oddFields, oddTexts} from './odd-entry-cases.js';

describe('a gateway while odd entries are in the store', () => {
	const fixture = useOddEntriesFixture();
	for (const {name, written} of oddTexts) {
		it(`serves requests, follows servers and starts: ${name}`, async () => fixture().check(written));
	}

	it('uses a living server again after an odd entry stood over its own', async () => {
		fixture().write([['servers/server-0', nested]]);
		await fixture().followServers();
		fixture().fleet.register({server: fixture().fleet.servers[0]!, failureDomain: 'north-a'});
		await until(async () => fixture().reaches('server-0'));
	});

	it('follows an evacuation while all odd entries lie there', async () => {
		fixture().write([...oddTexts, ...oddFields].flatMap(({written}) => written.filter(([key]) => key !== 'op/config')));
		await fixture().followServers();
		fixture().write([['op/evacuate/north-b', '{}']]);
		await until(async () => !await fixture().reaches('server-2'));
		fixture().fleet.platform.keyValues.delete({key: 'op/evacuate/north-b'});
		await until(async () => fixture().reaches('server-2'));
		await fixture().startAndCall();
	});
});
