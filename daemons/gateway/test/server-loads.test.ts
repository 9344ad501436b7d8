import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {callGateway, startGatewayFleet, until} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet} from '@pomelopick/testing.gateway-fleet';
import {startReadyGateway} from './fixture.js';
import type {LoggedGateway} from './fixture.js';

describe('load reports of backend servers', () => {
	let fleet: GatewayFleet;
	let gateway: LoggedGateway;
	const countRefused = (): number => gateway.lines.filter(({event}) => event === 'server-notice-refused').length;

	const callWith = async (workTime: string): Promise<number> => {
		fleet.servers[0]!.nameWorkTime(workTime);
		const {status} = await callGateway({endpoint: gateway.endpoints.callers, object: workTime});
		return status;
	};

	before(async () => {
		fleet = await startGatewayFleet({servers: ['north-a']});
		gateway = await startReadyGateway(await fleet.settings({instance: 'gateway-0'}));
		await until(() => gateway.lines.some(({event}) => event === 'server-changed'));
	});
	after(async () => {
		await gateway.stop();
		await fleet.stop();
	});

	// Guards against a load that is dropped because of its fourth value, and against a valid one that is taken for malformed.
	for (const {text, isRefused} of [{text: '100', isRefused: false}, {text: '100000', isRefused: false}, {text: 'fast', isRefused: true}]) {
		it(`are ${isRefused ? 'counted and used without the fourth value' : 'read'}: ${text}`, async () => {
			assert.equal(await callWith(text), 200);
			await until(() => countRefused() === Number(isRefused));
		});
	}
});

describe('regions of uneven slots', () => {
	let fleet: GatewayFleet;
	let gateway: LoggedGateway;

	before(async () => {
		fleet = await startGatewayFleet({servers: ['north-a', 'south-a', 'south-a', 'south-a', 'south-a', 'south-a']});
		for (const server of fleet.servers) {
			server.nameWorkTime('100');
		}

		gateway = await startReadyGateway(await fleet.settings({instance: 'gateway-0'}));
		await until(() => gateway.lines.filter(({event}) => event === 'server-changed').length >= fleet.servers.length);
	});
	after(async () => {
		await gateway.stop();
		await fleet.stop();
	});

	// Guards against callers in a region with few slots that overload its servers until they have been found full.
	it('share the requests of a region by their slots once a server has reported its work factor, and say so', async () => {
		for (let object = 0; object < 80; object += 1) {
			const {status} = await callGateway({endpoint: gateway.endpoints.callers, object: String(object)});
			assert.equal(status, 200);
		}

		const near = fleet.records.executions.filter(({server}) => server === fleet.servers[0]!.name).length;
		// The region has a sixth of the slots and two thirds of the failure domains: it keeps a quarter of its requests.
		assert.ok(near > 8 && near < 34, String(near));
		assert.ok(gateway.lines.some(({event, shares}) => event === 'region-shares' && shares === 'south=0.75 north=0.25'), JSON.stringify(gateway.lines.filter(({event}) => event === 'region-shares')));
	});
});
