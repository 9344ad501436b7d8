import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, configuration, HOST, guaranteesNotRun, SLOW_MS, startGatewayFleet, until,
} from '@pomelopick/testing.gateway-fleet';
import type {CallerResponse, GatewayFleet, Play} from '@pomelopick/testing.gateway-fleet';
import {startReadyGateway} from './fixture.js';
import type {LoggedGateway} from './fixture.js';

interface Case {
	readonly name: string;
	readonly method: 'GET' | 'POST';
	readonly plays: readonly Play[];
	readonly status: number;
	/** Number of times that servers ran the request. */
	readonly runs: number;
	/** Number of times that the request arrived at servers. */
	readonly arrivals: number;
}

const cases: readonly Case[] = [
	{
		name: 'delivers a complete response', method: 'GET', plays: ['whole'], status: 200, runs: 1, arrivals: 1,
	},
	{
		name: 'delivers a response that ends with its connection', method: 'GET', plays: ['unframed'], status: 200, runs: 1, arrivals: 1,
	},
	{
		name: 'retries a read whose response without a length was reset', method: 'GET', plays: ['unframed-reset', 'whole'], status: 200, runs: 2, arrivals: 2,
	},
	{
		name: 'retries a read whose response was truncated', method: 'GET', plays: ['cut', 'whole'], status: 200, runs: 2, arrivals: 2,
	},
	{
		name: 'retries a read whose connection was reset', method: 'GET', plays: ['reset', 'whole'], status: 200, runs: 2, arrivals: 2,
	},
	{
		name: 'retries a read whose response has no stamp', method: 'GET', plays: ['unstamped', 'whole'], status: 200, runs: 2, arrivals: 2,
	},
	{
		name: 'retries a read that got the response to another request', method: 'GET', plays: ['other-id', 'whole'], status: 200, runs: 2, arrivals: 2,
	},
	{
		name: 'retries a read that failed', method: 'GET', plays: ['failure', 'whole'], status: 200, runs: 2, arrivals: 2,
	},
	{
		name: 'delivers the failure when the second server fails too', method: 'GET', plays: ['failure'], status: 500, runs: 2, arrivals: 2,
	},
	{
		name: 'does not claim "not run" when the response to a read was truncated twice', method: 'GET', plays: ['cut'], status: 502, runs: 2, arrivals: 2,
	},
	{
		name: 'sends a read to a second server when the first does not respond', method: 'GET', plays: ['silent', 'whole'], status: 200, runs: 2, arrivals: 2,
	},
	{
		name: 'does not claim "not run" when the second server sheds a read that the first one then fails', method: 'GET', plays: ['late-reset', 'shed'], status: 502, runs: 1, arrivals: 2,
	},
	{
		name: 'sends a write that was shed to another server', method: 'POST', plays: ['shed', 'whole'], status: 200, runs: 1, arrivals: 2,
	},
	{
		name: 'reports "not run" for a write that was shed twice', method: 'POST', plays: ['shed'], status: 503, runs: 0, arrivals: 2,
	},
	{
		name: 'sends a write whose connection was reset only once, and does not claim "not run"', method: 'POST', plays: ['reset', 'whole'], status: 502, runs: 1, arrivals: 1,
	},
	{
		name: 'sends a write whose response was truncated only once, and does not claim "not run"', method: 'POST', plays: ['cut', 'whole'], status: 502, runs: 1, arrivals: 1,
	},
	{
		name: 'does not claim "not run" for a write whose 503 response does not state it', method: 'POST', plays: ['refuse-unstamped', 'whole'], status: 502, runs: 1, arrivals: 1,
	},
	{
		name: 'delivers the failure of a write', method: 'POST', plays: ['failure', 'whole'], status: 500, runs: 1, arrivals: 1,
	},
	{
		name: 'ends a write without a response at the route\'s timeout, and does not claim "not run"', method: 'POST', plays: ['silent', 'whole'], status: 504, runs: 1, arrivals: 1,
	},
];

describe('a gateway', () => {
	let fleet: GatewayFleet;
	let gateway: LoggedGateway;
	before(async () => {
		fleet = await startGatewayFleet();
		gateway = await startReadyGateway(await fleet.settings());
	});
	after(async () => {
		await gateway.stop();
		await fleet.stop();
	});

	const call = async (options: Omit<Parameters<typeof callGateway>[0], 'endpoint'>): Promise<CallerResponse> => callGateway({endpoint: gateway.endpoints.callers, ...options});

	const playCase = async ({name, method, plays, status, runs, arrivals}: Case): Promise<void> => {
		const isWrite = method === 'POST';
		const path = isWrite ? '/write/x?a=1' : '/read/x?a=1';
		const response = await call({
			method, plays, path, ...(isWrite && {body: 'a body'}), object: name,
		});
		const executions = fleet.executionsOf(response.requestId);
		assert.deepEqual({status: response.status, runs: executions.length, arrivals: fleet.records.arrivals.get(response.requestId) ?? 0}, {status, runs, arrivals});
		assert.ok(!guaranteesNotRun(response.status) || executions.length === 0);
		if (status === 200) {
			assert.equal((JSON.parse(response.text) as {requestId: string}).requestId, response.requestId);
			assert.equal(response.headers['x-server-stamp'], `${executions.at(-1)!.server}.${response.requestId}`);
		}

		for (const execution of executions) {
			assert.deepEqual({
				method: execution.method, path: execution.path, body: execution.body, expected: execution.expectedServer,
			}, {
				method, path, body: isWrite ? 'a body' : '', expected: execution.server,
			});
			assert.ok(execution.timeLeftMs > 0 && execution.timeLeftMs <= 2000, String(execution.timeLeftMs));
		}
	};

	for (const played of cases) {
		it(played.name, async () => playCase(played));
	}

	it('never delivers an extra response to the next request', async () => {
		for (let count = 0; count < 10; count += 1) {
			const response = await call({plays: ['extra']});
			assert.equal((JSON.parse(response.text) as {requestId: string}).requestId, response.requestId);
		}
	});

	it('responds with 404 to a host or path without a route', async () => {
		const [host, path] = await Promise.all([call({host: 'other.example'}), call({path: '/none/x'})]);
		assert.deepEqual([host.status, path.status], [404, 404]);
	});

	it('forwards no more remaining time than the caller has', async () => {
		const response = await call({timeLeftMs: 700});
		const [execution] = fleet.executionsOf(response.requestId);
		assert.ok(execution!.timeLeftMs <= 700, String(execution!.timeLeftMs));
	});

	it('responds to the requests of one connection in their order', async () => {
		const socket = connect(gateway.endpoints.callers.port, gateway.endpoints.callers.address);
		const head = (id: string, play: Play): string => `GET /read/${id} HTTP/1.1\r\nhost: ${HOST}\r\nx-request-id: ${id}\r\nx-deadline-ms: 3000\r\nx-affinity-key: ${id}\r\nx-play: ${play}\r\n\r\n`;
		let text = '';
		socket.on('data', (piece: Uint8Array) => {
			text += new TextDecoder().decode(piece);
		});
		socket.write(head('first', 'slow') + head('second', 'whole') + head('third', 'whole'));
		await until(() => text.split('x-server-stamp').length === 4);
		socket.destroy();
		assert.deepEqual([...text.matchAll(/"requestId":"(\w+)"/gu)].map(([, id]) => id), ['first', 'second', 'third']);
	});

	/** Disconnects the caller during a request; returns whether the server's connection was closed as well. */
	const disconnect = async (method: 'GET' | 'POST'): Promise<boolean> => {
		const requestId = `left-${method}`;
		const caller = new AbortController();
		const calling = call({
			method, requestId, path: method === 'GET' ? '/read/x' : '/write/x', body: method === 'GET' ? undefined : 'x', plays: ['slow'], signal: caller.signal,
		});
		await until(() => fleet.executionsOf(requestId).length === 1);
		caller.abort();
		await calling;
		await sleep(2 * SLOW_MS);
		return fleet.executionsOf(requestId)[0]!.wasCancelled;
	};

	it('cancels a read whose caller disconnected, and lets a write complete', async () => {
		const left = {GET: await disconnect('GET'), POST: await disconnect('POST')};
		assert.deepEqual(left, {GET: true, POST: false});
	});

	it('does not run a request at a server that is registered with another server\'s address', async () => {
		const [first] = fleet.servers;
		fleet.write('servers/impostor', {
			service: 'archive', address: `127.0.0.1:${first!.port}`, zone: 'north-a', version: 'v1', slots: 4, state: 'ready', 'warmup-left-s': 0, sequence: 1, born: 1,
		});
		fleet.write('op/config', configuration({version: 7, routes: [['moved', HOST, '/moved/', 'non_idempotent', 1, 0.5, 1, null, 2, false, [], 'archive']]}));
		await until(() => gateway.lines.some(({event, subject}) => event === 'routes-in-force' && subject === '7'));
		await until(() => gateway.lines.some(({event, subject}) => event === 'server-changed' && subject === 'impostor'));
		const response = await call({path: '/moved/x', method: 'POST', body: 'x'});
		assert.deepEqual({status: response.status, runs: fleet.executionsOf(response.requestId).length}, {status: 503, runs: 0});
	});

	it('refuses at once, with a retry-after header, when no server is available', async () => {
		fleet.write('op/evacuate/north-a', {});
		fleet.write('op/evacuate/north-b', {});
		await until(() => gateway.lines.filter(({event}) => event === 'evacuation-begun').length === 2);
		const response = await call({});
		assert.equal(response.status, 503);
		assert.ok(Number(response.headers['retry-after']) > 0);
		fleet.platform.keyValues.delete({key: 'op/evacuate/north-a'});
		fleet.platform.keyValues.delete({key: 'op/evacuate/north-b'});
	});

	it('logs one line for each request, with its id, what decided it and how it ended', async () => {
		const response = await call({
			plays: ['shed'], method: 'POST', path: '/write/x', body: 'x', object: 'logged',
		});
		const line = gateway.lines.find(({requestId}) => requestId === response.requestId)!;
		assert.deepEqual({
			event: line.event, route: line.route, service: line.service, object: line.object, outcome: line.outcome, execution: line.execution, configurationVersion: line.configurationVersion,
		}, {
			event: 'request', route: 'write', service: 'ledger', object: 'logged', outcome: 'refused', execution: 'not-run', configurationVersion: 7,
		});
	});
});
