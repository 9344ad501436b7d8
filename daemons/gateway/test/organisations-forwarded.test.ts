/** Guards against requests that lose or change their organisation, or leave its home regions, on their way through a second gateway. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {createServer} from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	callGateway, configuration, endpointOf, HOST, partitionFlags, setPartition, startGatewayFleet, until,
} from '@pomelopick/testing.gateway-fleet';
import type {
	CallGatewayOptions, FleetDomain, FleetOrganisation, GatewayFleet, GatewayProcess,
} from '@pomelopick/testing.gateway-fleet';
import {startConnectedGateways, startGatewayBesideInstance} from './fixture.js';

const organisations: readonly FleetOrganisation[] = [
	{name: 'first', keys: ['secret-of-first']},
	{name: 'second words', keys: ['secret-of-second']},
	{name: 'northern', keys: ['secret-of-northern'], homeRegions: ['north']},
	{name: 'southern', keys: ['secret-of-southern'], homeRegions: ['south']},
	{name: 'unreadable', keys: ['secret-of-unreadable'], ratePerSecond: -1},
];
const serverDomains: readonly FleetDomain[] = ['north-a', 'north-a', 'south-a', 'south-a'];
const gatewayDomains: readonly FleetDomain[] = ['north-a', 'north-b', 'south-a'];
const northRoute = ['north', HOST, '/north/', 'idempotent', 2, 0.5, 2, null, 2, true, ['north'], 'ledger'];
const OBJECTS = 8;

describe('requests of organisations at several gateways', () => {
	let fleet: GatewayFleet;
	let settings: readonly GatewaySettingsInput[];
	let gateways: GatewayProcess[];

	type Options = Omit<CallGatewayOptions, 'endpoint'>;

	/** Sends a request to the first gateway; returns its status, and the organisation that its server saw if it ran. */
	const send = async (options: Options): Promise<readonly unknown[]> => {
		const {status, requestId} = await callGateway({endpoint: endpointOf(settings[0]!.listen.callers), ...options});
		return [status, ...fleet.executionsOf(requestId).map(({organisation}) => organisation)];
	};

	/** Partitions the first gateway from all servers, or from none. */
	const partition = async (isCut: boolean): Promise<void> => {
		await setPartition({settingsPath: gateways[0]!.settingsPath, partition: {open: 'reset', connecting: 'refused', ports: isCut ? fleet.servers.map(({port}) => port) : []}});
		await sleep(100);
		await until(async () => {
			const [status] = await send({key: 'secret-of-first'});
			return status === 200;
		});
	};

	before(async () => {
		fleet = await startGatewayFleet({servers: serverDomains});
		fleet.write('op/config', configuration({
			version: 2, organisations, publicRoutes: ['/public/'], routes: [northRoute],
		}));
		settings = await Promise.all(gatewayDomains.map(async (failureDomain, index) => fleet.settings({instance: `gateway-${index}`, failureDomain, shutdownSeconds: 2})));
		gateways = await startConnectedGateways({settings, engineFlags: partitionFlags});
	});
	after(async () => {
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		await fleet.stop();
	});

	/** Names of the servers that requests of an organisation arrived at, for several objects. */
	const listServers = async (options: Options): Promise<readonly string[]> => {
		const requestIds: readonly string[] = Array.from({length: OBJECTS}, () => randomUUID());
		await Promise.all(requestIds.map(async (requestId, index) => send({requestId, object: `object-${index}`, ...options})));
		return [...new Set(fleet.records.arrivalLog.filter(({requestId}) => requestIds.includes(requestId)).map(({server}) => server))].toSorted();
	};

	const checkServers = async ({options, allowed}: {readonly options: Options; readonly allowed: readonly string[]}): Promise<void> => {
		const servers = await listServers(options);
		assert.ok(servers.length > 0 && servers.every(server => allowed.includes(server)), servers.join(' '));
	};

	const homes: ReadonlyArray<{name: string; options: Options}> = [
		{name: 'reads', options: {}},
		{name: 'writes', options: {path: '/write/x', method: 'POST', body: 'x'}},
		{name: 'reads that are rejected at first', options: {plays: ['shed', 'shed', 'whole']}},
		{
			name: 'writes that are rejected at first', options: {
				path: '/write/x', method: 'POST', body: 'x', plays: ['shed', 'shed', 'whole'],
			},
		},
		{name: 'reads that fail at first', options: {plays: ['failure', 'whole']}},
		{name: 'reads that are hedged', options: {workMs: 1200}},
	];
	const checkHomes = async (options: Options): Promise<void> => {
		await checkServers({options: {...options, key: 'secret-of-southern'}, allowed: ['server-2', 'server-3']});
		await checkServers({options: {...options, key: 'secret-of-northern'}, allowed: ['server-0', 'server-1']});
	};

	for (const {name, options} of homes) {
		it(`run in the home regions of the organisation only, ${name}`, async () => checkHomes(options));
	}

	it('run where both the route and the organisation have their homes, and nowhere if there is none', async () => {
		await checkServers({options: {path: '/north/x', key: 'secret-of-northern'}, allowed: ['server-0', 'server-1']});
		assert.deepEqual(await send({path: '/north/x', key: 'secret-of-southern'}), [503]);
	});

	describe('when the first cannot reach the servers', () => {
		before(async () => partition(true));
		after(async () => partition(false));

		const cases: ReadonlyArray<{name: string; options: Options; expected: readonly unknown[]}> = [
			{name: 'a key', options: {key: 'secret-of-first'}, expected: [200, 'first']},
			{name: 'a key of an organisation whose name has to be encoded', options: {key: 'secret-of-second'}, expected: [200, 'second words']},
			{
				name: 'a write with a key', options: {
					key: 'secret-of-first', path: '/write/x', method: 'POST', body: 'x',
				}, expected: [200, 'first'],
			},
			{name: 'a key on a public route', options: {key: 'secret-of-first', path: '/public/x'}, expected: [200, 'first']},
			{name: 'no key on a public route', options: {path: '/public/x'}, expected: [200, undefined]},
			{name: 'an unknown key on a public route', options: {key: 'secret-of-nobody', path: '/public/x'}, expected: [200, undefined]},
			{name: 'an unknown key', options: {key: 'secret-of-nobody'}, expected: [401]},
			{name: 'no key', options: {}, expected: [401]},
			{name: 'other organisations that the caller states', options: {key: 'secret-of-first', headers: {'X-Tenant': 'northern', 'x-forwarded-organisation': 'northern'}}, expected: [200, 'first']},
			{name: 'an organisation that the caller states on a public route', options: {path: '/public/x', headers: {'x-tenant': 'first', 'x-forwarded-organisation': 'first'}}, expected: [200, undefined]},
		];
		const check = async ({options, expected}: Pick<typeof cases[number], 'options' | 'expected'>): Promise<void> => {
			assert.deepEqual(await send(options), expected);
		};

		for (const {name, options, expected} of cases) {
			it(`get ${expected.join(', ')} with ${name}`, async () => check({options, expected}));
		}

		it('pass through gateways of the home regions only', async () => {
			const requestIds: readonly string[] = Array.from({length: OBJECTS}, () => randomUUID());
			await Promise.all(requestIds.map(async (requestId, index) => send({
				requestId, object: `object-${index}`, key: index % 2 === 0 ? 'secret-of-southern' : 'secret-of-northern', path: '/write/x', method: 'POST', body: 'x',
			})));
			const linesOf = (gateway: number): ReadonlyArray<readonly unknown[]> => gateways[gateway]!.lines.filter(({event, requestId}) => event === 'request' && requestIds.includes(String(requestId))).map(({requestId}) => [requestIds.indexOf(String(requestId)) % 2]);
			await until(() => linesOf(1).length + linesOf(2).length >= OBJECTS);
			assert.ok(linesOf(1).every(([parity]) => parity === 1), 'a request with its home in the south passed through the north');
			assert.ok(linesOf(2).every(([parity]) => parity === 0), 'a request with its home in the north passed through the south');
		});
	});

	/** Sends a request to the second gateway as another instance would. */
	const forward = async ({path = '/read/x', headers}: {readonly path?: string; readonly headers: Record<string, string>}): Promise<readonly unknown[]> => {
		const requestId = randomUUID();
		const response = await request(`http://${settings[1]!.listen.peers}/forwarded-requests${path}`, {
			headers: {
				host: HOST, 'x-request-id': requestId, 'x-deadline-ms': '2000', 'x-forwarded-service': 'ledger', 'x-forwarded-configuration': '2', 'x-forwarded-caller': '127.0.0.1', 'x-forwarded-max-servers': '1', ...headers,
			},
		});
		await response.body.dump();
		return [response.statusCode, ...fleet.executionsOf(requestId).map(({organisation}) => organisation)];
	};

	const forwarded: ReadonlyArray<{name: string; path?: string; headers: Record<string, string>; expected: readonly unknown[]}> = [
		{name: 'of this build with an organisation', headers: {'x-forwarded-organisation': 'second%20words', 'x-tenant': 'first'}, expected: [200, 'second words']},
		{
			name: 'of this build without an organisation', headers: {'x-forwarded-organisation': '', 'x-tenant': 'first'}, path: '/public/x', expected: [200, undefined],
		},
		{name: 'of this build with an unknown organisation', headers: {'x-forwarded-organisation': 'third'}, expected: [503]},
		{name: 'of this build with an organisation whose limit cannot be read', headers: {'x-forwarded-organisation': 'unreadable'}, expected: [503]},
		{name: 'of this build with a malformed organisation', headers: {'x-forwarded-organisation': '%'}, expected: [400]},
		{name: 'of the build before with a key', headers: {authorization: 'Bearer secret-of-first', 'x-tenant': 'northern'}, expected: [200, 'first']},
		{name: 'of the build before with a key, and an organisation that the caller stated', headers: {authorization: 'Bearer secret-of-first', 'x-forwarded-organisation': 'northern'}, expected: [200, 'first']},
		{name: 'of the build before with an unknown key', headers: {authorization: 'Bearer secret-of-nobody', 'x-forwarded-organisation': 'first'}, expected: [401]},
		{name: 'of the build before without a key', headers: {'x-tenant': 'first'}, expected: [401]},
		{
			name: 'of the build before without a key on a public route', headers: {'x-tenant': 'first'}, path: '/public/x', expected: [200, undefined],
		},
	];
	const checkForwarded = async ({path, headers, expected}: Omit<typeof forwarded[number], 'name'>): Promise<void> => {
		assert.deepEqual(await forward({path, headers}), expected);
	};

	for (const {name, path, headers, expected} of forwarded) {
		it(`get ${expected.join(', ')} from an instance ${name}`, async () => checkForwarded({path, headers, expected}));
	}

	it('never take a key to a server, a log or another gateway', () => {
		assert.deepEqual(fleet.records.executions.filter(({credentials}) => credentials !== undefined), []);
		assert.doesNotMatch(gateways.map(({lines, errors}) => JSON.stringify([lines, errors])).join(''), /secret/u);
	});
});

const statements: ReadonlyArray<{name: string; organisations?: readonly FleetOrganisation[]; headers: Record<string, string>; expected: Record<string, string | undefined>}> = [
	{
		name: 'the organisation and no key', organisations, headers: {authorization: 'Bearer secret-of-second', 'x-tenant': 'first'}, expected: {authorization: undefined, 'x-tenant': 'second words', 'x-forwarded-organisation': 'second%20words'},
	},
	{name: 'no organisation that its caller states, where callers are not authenticated', headers: {authorization: 'Bearer any', 'x-forwarded-organisation': 'first'}, expected: {authorization: 'Bearer any', 'x-tenant': undefined, 'x-forwarded-organisation': undefined}},
];

for (const {name, headers, expected, ...options} of statements) {
	describe('a gateway beside an instance of another build', () => {
		it(`tells it ${name}`, async () => {
			const received: Array<IncomingMessage['headers']> = [];
			const other = createServer((forwarded, response) => {
				if (forwarded.url?.startsWith('/forwarded-requests') === true) {
					received.push(forwarded.headers);
				}

				response.writeHead(404).end();
			});
			await new Promise<void>(resolve => {
				other.listen(0, '127.0.0.1', resolve);
			});
			const beside = await startGatewayBesideInstance({port: (other.address() as AddressInfo).port, ...options});
			try {
				await until(async () => {
					await callGateway({endpoint: beside.endpoint, headers});
					return received.length > 0;
				});
				for (const found of received) {
					assert.deepEqual(Object.fromEntries(Object.keys(expected).map(header => [header, found[header]])), expected);
				}
			} finally {
				await beside.stop();
				other.close();
			}
		});
	});
}
