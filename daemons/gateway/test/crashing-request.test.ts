import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {callGateway, startGatewayFleet, until} from '@pomelopick/testing.gateway-fleet';
import {startReadyGateway} from './fixture.js';

/** Servers that one request may take down, over all instances. */
const MOST_DEATHS = 3;

describe('a request that crashes the servers that run it', () => {
	it('is refused by every gateway after few of them, and others are served', async () => {
		const fleet = await startGatewayFleet({servers: ['north-a', 'north-a', 'north-a', 'north-b', 'north-b', 'north-b']});
		const first = await startReadyGateway(await fleet.settings({instance: 'first'}));
		const second = await startReadyGateway(await fleet.settings({instance: 'second', failureDomain: 'north-b'}));
		try {
			const crash = async (gateway: typeof first) => callGateway({endpoint: gateway.endpoints.callers, path: '/read/deadly', plays: ['crash']});
			await crash(first);
			await until(() => second.lines.some(({event, detail}) => event === 'quarantine' && detail === 'request convicted'));
			const answers = [await crash(second), await crash(first), await crash(second)];
			const sound = await callGateway({endpoint: second.endpoints.callers, path: '/read/sound'});
			assert.deepEqual(answers.map(({status}) => status), [503, 503, 503]);
			assert.equal(sound.status, 200);
			assert.ok(fleet.records.executions.filter(({path}) => path === '/read/deadly').length <= MOST_DEATHS);
		} finally {
			await first.stop();
			await second.stop();
			await fleet.stop();
		}
	});

	it('is still refused by the gateway that convicted it once that one has started anew', async () => {
		const fleet = await startGatewayFleet({servers: ['north-a', 'north-a', 'north-a', 'north-b', 'north-b', 'north-b']});
		const settings = await fleet.settings({instance: 'alone'});
		const before = await startReadyGateway(settings);
		const crash = async (gateway: typeof before) => callGateway({endpoint: gateway.endpoints.callers, path: '/read/deadly', plays: ['crash']});
		await crash(before);
		await crash(before);
		await until(() => before.lines.some(({event, detail}) => event === 'quarantine' && detail === 'request convicted'));
		await before.stop();
		const deaths = fleet.records.executions.length;
		const after = await startReadyGateway(settings);
		try {
			const {status} = await crash(after);
			assert.equal(status, 503);
			assert.equal(fleet.records.executions.length, deaths);
		} finally {
			await after.stop();
			await fleet.stop();
		}
	});
});
