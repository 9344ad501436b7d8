import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {callGateway, startGatewayFleet, until} from '@pomelopick/testing.gateway-fleet';
import {startReadyGateway} from './fixture.js';

/** Maximum number of servers that one request may crash, over all instances. */
const MAX_CRASHES = 3;

describe('a request that crashes the servers that run it', () => {
	it('is refused by every gateway after a few crashes, while other requests are served', async () => {
		const fleet = await startGatewayFleet({servers: ['north-a', 'north-a', 'north-a', 'north-b', 'north-b', 'north-b']});
		const first = await startReadyGateway(await fleet.settings({instance: 'first'}));
		const second = await startReadyGateway(await fleet.settings({instance: 'second', failureDomain: 'north-b'}));
		try {
			const crash = async (gateway: typeof first) => callGateway({endpoint: gateway.endpoints.callers, path: '/read/deadly', plays: ['crash']});
			await crash(first);
			await until(() => second.lines.some(({event, detail}) => event === 'quarantine' && detail === 'request convicted'));
			const responses = [await crash(second), await crash(first), await crash(second)];
			const healthy = await callGateway({endpoint: second.endpoints.callers, path: '/read/sound'});
			assert.deepEqual(responses.map(({status}) => status), [503, 503, 503]);
			assert.equal(healthy.status, 200);
			assert.ok(fleet.records.executions.filter(({path}) => path === '/read/deadly').length <= MAX_CRASHES);
		} finally {
			await first.stop();
			await second.stop();
			await fleet.stop();
		}
	});

	it('is still refused after a restart by the gateway that quarantined it', async () => {
		const fleet = await startGatewayFleet({servers: ['north-a', 'north-a', 'north-a', 'north-b', 'north-b', 'north-b']});
		const settings = await fleet.settings({instance: 'alone'});
		const before = await startReadyGateway(settings);
		const crash = async (gateway: typeof before) => callGateway({endpoint: gateway.endpoints.callers, path: '/read/deadly', plays: ['crash']});
		await crash(before);
		await crash(before);
		await until(() => before.lines.some(({event, detail}) => event === 'quarantine' && detail === 'request convicted'));
		await before.stop();
		const crashes = fleet.records.executions.length;
		const after = await startReadyGateway(settings);
		try {
			const {status} = await crash(after);
			assert.equal(status, 503);
			assert.equal(fleet.records.executions.length, crashes);
		} finally {
			await after.stop();
			await fleet.stop();
		}
	});
});
