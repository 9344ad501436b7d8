import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {Endpoint} from '@pomelopick/core.types';

/** A port at which nothing listens. */
const CLOSED_PORT = 9;

const requests = [{method: 'GET', path: '/read/x'}, {method: 'POST', path: '/write/x', body: 'x'}] as const;

describe('a request that no instance can serve, beside an instance of an older build that does not take forwarded requests', () => {
	let fleet: GatewayFleet;
	let older: Server;
	let forwarded = 0;
	let gateway: GatewayProcess;
	let endpoint: Endpoint;
	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		for (const name of ['closed-0', 'closed-1', 'closed-2']) {
			fleet.register({server: {name, port: CLOSED_PORT}, failureDomain: 'north-a'});
		}

		older = createServer((request, response) => {
			forwarded += Number(request.url?.startsWith('/forwarded-requests'));
			response.writeHead(404).end();
		});
		await new Promise<void>(resolve => {
			older.listen(0, '127.0.0.1', resolve);
		});
		const address = {address: '127.0.0.1', port: (older.address() as AddressInfo).port};
		fleet.write('pomelopick/instances/older', {
			id: 'older', failureDomain: 'north-a', region: 'north', callers: address, peers: address,
		});
		const settings = await fleet.settings();
		endpoint = endpointOf(settings.listen.callers);
		gateway = await startGatewayProcess({settings});
		await until(async () => await isReady(settings) && gateway.lines.filter(({event}) => event === 'instance-joined').length >= 2);
	});
	after(async () => {
		await gateway.stop();
		older.close();
		await fleet.stop();
	});

	/** Sends requests until one was forwarded; returns the statuses of all. */
	const callUntilForwarded = async (options: typeof requests[number]): Promise<ReadonlySet<number>> => {
		const statuses = new Set<number>();
		const forwardedBefore = forwarded;
		await until(async () => {
			const {status} = await callGateway({endpoint, ...options});
			statuses.add(status);
			return forwarded > forwardedBefore;
		});
		return statuses;
	};

	for (const options of requests) {
		it(`is refused as not run, ${options.method}`, async () => {
			assert.deepEqual(await callUntilForwarded(options), new Set([503]));
		});
	}
});
