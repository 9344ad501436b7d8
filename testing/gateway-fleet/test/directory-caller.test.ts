import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {RequestListener, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {DirectoryCaller} from '@pomelopick/testing.gateway-fleet';

/** Response of the instance to an attempt: a status, or a connection that is closed without a response. */
type InstanceResponse = number | 'closed';

const cases: ReadonlyArray<{readonly name: string; readonly method: 'GET' | 'POST'; readonly answers: readonly InstanceResponse[]; readonly statuses: readonly number[]}> = [
	{
		name: 'returns the first successful response', method: 'GET', answers: [200], statuses: [200],
	},
	{
		name: 'retries a read after a closed connection', method: 'GET', answers: ['closed', 200], statuses: [0, 200],
	},
	{
		name: 'retries a read after a failure', method: 'GET', answers: [502, 200], statuses: [502, 200],
	},
	{
		name: 'does not retry a write after a closed connection', method: 'POST', answers: ['closed', 200], statuses: [0],
	},
	{
		name: 'does not retry a write after a failure', method: 'POST', answers: [504, 200], statuses: [504],
	},
	{
		name: 'retries a write that was not run', method: 'POST', answers: [503, 200], statuses: [503, 200],
	},
	{
		name: 'stops after four attempts', method: 'GET', answers: [503, 503, 503, 503, 200], statuses: [503, 503, 503, 503],
	},
];

describe('DirectoryCaller', () => {
	let answers: InstanceResponse[];
	let queries: number;
	const servers: Server[] = [];

	const listen = async (listener: RequestListener): Promise<string> => {
		const server = createServer(listener);
		servers.push(server);
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	};

	/** Creates a caller whose first directory is down and whose second directory returns one instance with the given time to live, in seconds. */
	const createCaller = async (timeToLiveSeconds: number): Promise<DirectoryCaller> => {
		const instance = await listen((request, response) => {
			request.resume();
			const answer = answers.shift() ?? 500;
			if (answer === 'closed') {
				request.socket.destroy();
			} else {
				response.writeHead(answer, {'retry-after': '0.01'}).end();
			}
		});
		const directory = await listen((_request, response) => {
			queries += 1;
			response.end(JSON.stringify({addresses: [instance], 'ttl-s': timeToLiveSeconds}));
		});
		const down = await listen((request, response) => {
			response.writeHead(503).end('{}');
		});
		return new DirectoryCaller({
			directories: () => [down, directory], region: 'north', failureDomain: 'north-a', random: () => 0,
		});
	};

	beforeEach(() => {
		queries = 0;
	});
	afterEach(async () => {
		await Promise.all(servers.splice(0).map(async server => new Promise(resolve => {
			server.close(resolve);
			server.closeAllConnections();
		})));
	});

	const check = async ({method, answers: planned, statuses}: typeof cases[number]): Promise<void> => {
		answers = [...planned];
		const caller = await createCaller(60);
		const call = await caller.call({method, path: '/read/1', timeLeftMs: 5000});
		assert.deepEqual(call.answers.map(({status}) => status), statuses);
		assert.equal(call.isSilent, false);
	};

	const countQueries = async (timeToLiveSeconds: number): Promise<number> => {
		answers = [200, 200, 200];
		const caller = await createCaller(timeToLiveSeconds);
		for (let call = 0; call < 3; call += 1) {
			await caller.call({method: 'GET', path: '/read/1', timeLeftMs: 5000});
		}

		return queries;
	};

	for (const testCase of cases) {
		it(testCase.name, async () => check(testCase));
	}

	for (const {timeToLiveSeconds, expected} of [{timeToLiveSeconds: 60, expected: 1}, {timeToLiveSeconds: 0, expected: 3}]) {
		it(`queries the directory ${expected} times for three requests with a time to live of ${timeToLiveSeconds} s`, async () => {
			assert.equal(await countQueries(timeToLiveSeconds), expected);
		});
	}
});
