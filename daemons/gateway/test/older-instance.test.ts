import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {callGateway, HOST, until} from '@pomelopick/testing.gateway-fleet';
import {startGatewayBesideInstance} from './fixture.js';
import type {GatewayBesideInstance} from './fixture.js';

/** Time after which an instance that could not help is chosen again, in milliseconds. */
const PEER_PAUSE_MS = 2100;
const headerCounts: ReadonlyArray<{name: string; headers: number; expected: number}> = [
	{name: 'is forwarded with as many headers as it reads', headers: 900, expected: 1},
	{name: 'is refused as not run, and not forwarded, with more headers than it reads', headers: 1200, expected: 0},
];

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

	/** Sends a request with many headers; returns how often it was forwarded. */
	const sendMany = async (headers: number): Promise<number> => {
		const {address, port} = beside.endpoint;
		const forwardedBefore = forwarded;
		const listed = Object.fromEntries(Array.from({length: headers}, (_, index) => [`h${index.toString(36)}`, '1']));
		const response = await request(`http://${address}:${port}/read/many`, {headers: {host: HOST, 'x-request-id': 'many', ...listed}});
		await response.body.dump();
		assert.equal(response.statusCode, 503);
		return forwarded - forwardedBefore;
	};

	for (const {name, headers, expected} of headerCounts) {
		it(name, async () => {
			// The instance is chosen again once the pause after its last failure has ended.
			await sleep(PEER_PAUSE_MS);
			assert.equal(await sendMany(headers), expected);
		});
	}
});
