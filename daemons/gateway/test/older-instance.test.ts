import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {callGateway, until} from '@pomelopick/testing.gateway-fleet';
import {startGatewayBesideInstance} from './fixture.js';
import type {GatewayBesideInstance} from './fixture.js';

const requests = [{method: 'GET', path: '/read/x'}, {method: 'POST', path: '/write/x', body: 'x'}] as const;

describe('a request that no instance can serve, beside an instance of an older build that does not take forwarded requests', () => {
	let older: Server;
	let forwarded = 0;
	let beside: GatewayBesideInstance;
	before(async () => {
		older = createServer((request, response) => {
			forwarded += Number(request.url?.startsWith('/forwarded-requests'));
			response.writeHead(404).end();
		});
		await new Promise<void>(resolve => {
			older.listen(0, '127.0.0.1', resolve);
		});
		beside = await startGatewayBesideInstance({port: (older.address() as AddressInfo).port});
	});
	after(async () => {
		await beside.stop();
		older.close();
	});

	/** Sends requests until one was forwarded; returns the statuses of all. */
	const callUntilForwarded = async (options: typeof requests[number]): Promise<ReadonlySet<number>> => {
		const statuses = new Set<number>();
		const forwardedBefore = forwarded;
		await until(async () => {
			const {status} = await callGateway({endpoint: beside.endpoint, ...options});
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
