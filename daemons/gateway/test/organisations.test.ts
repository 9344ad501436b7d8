/** Guards against requests that run for callers without a valid key or as another organisation, and against keys that leave the gateway. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {connect} from 'node:net';
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	callGateway, configuration, endpointOf, HOST, isReady, PipeliningCaller, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {
	CallGatewayOptions, CallerResponse, ConfigurationOptions, FleetOrganisation, GatewayFleet, GatewayProcess,
} from '@pomelopick/testing.gateway-fleet';
import {
	everyone, first, FIRST_KEY, LONG_KEY, second, SECOND_KEY,
} from './organisation-examples.js';

/** Time within which a change of the configuration takes effect, in milliseconds. */
const APPLY_MS = 3000;

describe('a gateway whose callers belong to organisations', () => {
	let fleet: GatewayFleet;
	let settings: GatewaySettingsInput;
	let gateway: GatewayProcess;
	let version = 1;

	/** Publishes organisations, and waits until the gateway applies them. */
	const publish = async (options: Omit<ConfigurationOptions, 'version'>): Promise<void> => {
		version += 1;
		fleet.write('op/config', configuration({
			version, publicRoutes: ['/public/'], uploads: ['/upload/'], ...options,
		}));
		await until(() => gateway.lines.some(({event, subject}) => event === 'routes-in-force' && subject === String(version)));
	};

	const call = async (options: Omit<CallGatewayOptions, 'endpoint'>): Promise<CallerResponse> => callGateway({endpoint: endpointOf(settings.listen.callers), ...options});

	/** Sends a request; returns its status, and the organisation that its server saw if it ran. */
	const send = async (options: Omit<CallGatewayOptions, 'endpoint'>): Promise<readonly unknown[]> => {
		const {status, requestId} = await call(options);
		return [status, ...fleet.executionsOf(requestId).map(({organisation}) => organisation)];
	};

	before(async () => {
		fleet = await startGatewayFleet();
		settings = await fleet.settings();
		gateway = await startGatewayProcess({settings});
		await until(async () => isReady(settings));
	});
	after(async () => {
		await gateway.stop();
		await fleet.stop();
	});
	beforeEach(async () => publish({organisations: everyone}));
	afterEach(async () => {
		const metrics = await fetch(`http://${settings.listen.metrics}/metrics`);
		const text = await metrics.text();
		assert.deepEqual(fleet.records.executions.filter(({credentials}) => credentials !== undefined), [], 'no server may receive credentials');
		assert.doesNotMatch(`${text}${JSON.stringify(gateway.lines)}${gateway.errors.join('')}`, /secret|kkkkk/u);
		assert.ok(!gateway.hasExited());
	});

	const authorization = (...values: readonly string[]): {headers: Record<string, string[]>} => ({headers: {authorization: [...values]}});
	const singleRequests: ReadonlyArray<{name: string; options: Omit<CallGatewayOptions, 'endpoint'>; expected: readonly unknown[]}> = [
		{name: 'a key', options: {key: FIRST_KEY}, expected: [200, 'first']},
		{name: 'a key of 8 KB', options: {key: LONG_KEY}, expected: [200, 'first']},
		{name: 'the scheme in lower case', options: authorization(`bearer ${SECOND_KEY}`), expected: [200, 'second']},
		{
			name: 'a write with a key', options: {
				path: '/write/x', method: 'POST', body: 'x', key: SECOND_KEY,
			}, expected: [200, 'second'],
		},
		{
			name: 'an upload with a key', options: {
				path: '/upload/x', method: 'POST', body: 'x', key: SECOND_KEY,
			}, expected: [200, 'second'],
		},
		{
			name: 'a large upload with a key', options: {
				path: '/upload/x', method: 'POST', body: 'x'.repeat(90_000), key: SECOND_KEY,
			}, expected: [200, 'second'],
		},
		{name: 'no key', options: {}, expected: [401]},
		{name: 'a write without a key', options: {path: '/write/x', method: 'POST', body: 'x'}, expected: [401]},
		{name: 'an upload without a key', options: {path: '/upload/x', method: 'POST', body: 'x'.repeat(90_000)}, expected: [401]},
		{name: 'an unknown key', options: {key: 'secret-of-nobody'}, expected: [401]},
		{name: 'a part of a key', options: {key: FIRST_KEY.slice(0, -1)}, expected: [401]},
		{name: 'an unknown key of 8 KB', options: {key: `${LONG_KEY}k`}, expected: [401]},
		{name: 'an empty key', options: authorization('Bearer '), expected: [401]},
		{name: 'empty credentials', options: authorization(''), expected: [401]},
		{name: 'another scheme', options: authorization(`Basic ${FIRST_KEY}`), expected: [401]},
		{name: 'a key twice', options: authorization(`Bearer ${FIRST_KEY}`, `Bearer ${FIRST_KEY}`), expected: [401]},
		{name: 'keys of two organisations', options: authorization(`Bearer ${FIRST_KEY}`, `Bearer ${SECOND_KEY}`), expected: [401]},
		{name: 'another organisation than that of its key', options: {key: FIRST_KEY, headers: {'X-Tenant': 'second'}}, expected: [200, 'first']},
		{name: 'other organisations, repeated', options: {key: FIRST_KEY, headers: {'x-TENANT': ['second', 'first']}}, expected: [200, 'first']},
		{name: 'an organisation without a key', options: {headers: {'x-tenant': 'first'}}, expected: [401]},
		{name: 'an organisation as another gateway would state it', options: {headers: {'x-forwarded-organisation': 'first'}}, expected: [401]},
		{name: 'headers with the names of inherited properties', options: {key: FIRST_KEY, headers: {__proto__x: 'x', constructor: 'x'}}, expected: [200, 'first']},
		{name: 'a key of an organisation whose limit cannot be read', options: {key: 'secret-of-unreadable'}, expected: [503]},
		{name: 'no key on a public route', options: {path: '/public/x'}, expected: [200, undefined]},
		{name: 'a key on a public route', options: {path: '/public/x', key: SECOND_KEY}, expected: [200, 'second']},
		{name: 'an unknown key on a public route', options: {path: '/public/x', key: 'secret-of-nobody'}, expected: [200, undefined]},
		{name: 'two keys on a public route', options: {path: '/public/x', ...authorization(`Bearer ${FIRST_KEY}`, `Bearer ${FIRST_KEY}`)}, expected: [200, undefined]},
		{name: 'an organisation on a public route', options: {path: '/public/x', headers: {'x-tenant': 'first'}}, expected: [200, undefined]},
	];
	for (const {name, options, expected} of singleRequests) {
		it(`answers ${expected.join(', ')} to ${name}`, async () => {
			assert.deepEqual(await send(options), expected);
		});
	}

	it('tells the scheme of the credentials, the reason and that nothing was run with 401', async () => {
		const {headers, text, status} = await call({key: 'secret-of-nobody'});
		const {title, execution} = JSON.parse(text) as Record<string, unknown>;
		assert.deepEqual([status, headers['www-authenticate'], title, execution], [401, 'Bearer', 'unauthorised', 'not-run']);
		assert.doesNotMatch(text, /secret/u);
		const metrics = await fetch(`http://${settings.listen.metrics}/metrics`);
		assert.match(await metrics.text(), /unauthorised"\} [1-9]/u);
	});

	it('names the organisation in the log line of a request', async () => {
		const lineOf = (requestId: string): Readonly<Record<string, unknown>> | undefined => gateway.lines.find(line => line.event === 'request' && line.requestId === requestId);
		const [{requestId: known}, {requestId: anonymous}] = await Promise.all([call({key: FIRST_KEY}), call({path: '/public/x'})]);
		await until(() => lineOf(known) !== undefined && lineOf(anonymous) !== undefined);
		assert.deepEqual([lineOf(known)?.organisation, lineOf(anonymous)?.organisation], ['first', undefined]);
	});

	it('tells when the limit of an organisation cannot be read', async () => {
		const {headers, text} = await call({key: 'secret-of-unreadable'});
		assert.equal((JSON.parse(text) as {readonly title: string}).title, 'quota-unavailable');
		assert.ok(Number(headers['retry-after']) > 0);
	});

	/** Requests on one connection, whose keys must not be taken for each other. */
	const successiveRequests = [
		{key: FIRST_KEY, expected: [200, 'first']},
		{key: 'secret-of-nobody', expected: [401]},
		{key: SECOND_KEY, expected: [200, 'second']},
		{key: undefined, expected: [401]},
		{key: FIRST_KEY, expected: [200, 'first']},
	];
	const connections = [{name: 'kept', isPipelined: false}, {name: 'pipelined', isPipelined: true}];
	const checkSuccessiveRequests = async (isPipelined: boolean): Promise<void> => {
		const caller = new PipeliningCaller(endpointOf(settings.listen.callers));
		const requestIds = successiveRequests.map(() => randomUUID());
		for (const [index, {key}] of successiveRequests.entries()) {
			caller.send({
				requestId: requestIds[index]!, path: '/write/x', method: 'POST', body: 'x', headers: key === undefined ? [] : [`Authorization: Bearer ${key}`],
			});
			if (!isPipelined) {
				await until(() => caller.responses.length === index + 1);
			}
		}

		await until(() => caller.responses.length === successiveRequests.length);
		caller.close();
		const found = caller.responses.map(({requestId, status}) => [status, ...fleet.executionsOf(requestId).map(({organisation}) => organisation)]);
		assert.deepEqual(caller.responses.map(({requestId}) => requestId), requestIds);
		assert.deepEqual(found, successiveRequests.map(({expected}) => expected));
	};

	for (const {name, isPipelined} of connections) {
		it(`looks up each key on a ${name} connection`, async () => checkSuccessiveRequests(isPipelined));
	}

	const connectionOptions = ['authorization', 'X-Tenant', 'x-tenant, Authorization, keep-alive', 'close, AUTHORIZATION'];
	/** Checks that a request that names its headers as options of its connection, which are not passed on, still has its organisation. */
	const checkConnectionOption = async (option: string): Promise<void> => {
		const caller = new PipeliningCaller(endpointOf(settings.listen.callers));
		const requestId = randomUUID();
		caller.send({requestId, headers: [`Connection: ${option}`, 'x-Tenant: second', `AUTHORIZATION: Bearer ${FIRST_KEY}`, 'X-TENANT: third']});
		await until(() => caller.responses.length === 1);
		caller.close();
		assert.deepEqual(fleet.executionsOf(requestId).map(({organisation}) => organisation), ['first']);
	};

	for (const option of connectionOptions) {
		it(`states the organisation, and no key, with Connection: ${option}`, async () => checkConnectionOption(option));
	}

	const revocations: ReadonlyArray<{name: string; organisations: readonly FleetOrganisation[]}> = [
		{name: 'was revoked', organisations: [{...first, keys: [LONG_KEY]}, second]},
		{name: 'was the last one of its organisation', organisations: [{...first, keys: []}, second]},
		{name: 'moved to another organisation', organisations: [{...first, keys: []}, {...second, keys: [SECOND_KEY, FIRST_KEY]}]},
		{name: 'belonged to an organisation that was removed', organisations: [second]},
		{name: 'belonged to the only organisation', organisations: []},
	];

	/** Begins a write whose body is incomplete; returns a function that completes it and returns all that was received. */
	const beginWrite = async ({requestId, key}: {readonly requestId: string; readonly key: string}): Promise<() => Promise<string>> => {
		const {address, port} = endpointOf(settings.listen.callers);
		const socket = connect({host: address, port, noDelay: true});
		let received = '';
		socket.setEncoding('latin1').on('data', (piece: string) => {
			received += piece;
		});
		socket.write(['POST /write/x HTTP/1.1', `host: ${HOST}`, 'connection: close', `x-request-id: ${requestId}`, 'x-deadline-ms: 3000', `authorization: Bearer ${key}`, 'content-length: 4', '', 'ab'].join('\r\n'));
		await sleep(100);
		return async () => {
			socket.write('cd');
			await once(socket, 'close');
			return received;
		};
	};

	/** Checks that a request whose key was valid when its headers arrived is refused once the organisations have changed. */
	const checkRevocation = async (organisations: readonly FleetOrganisation[]): Promise<void> => {
		const requestId = randomUUID();
		const complete = await beginWrite({requestId, key: FIRST_KEY});
		await publish({organisations});
		assert.match(await complete(), /^HTTP\/1\.1 401 [\s\S]*www-authenticate: Bearer\r\n/u);
		assert.deepEqual(fleet.executionsOf(requestId), []);
	};

	for (const {name, organisations} of revocations) {
		it(`refuses a request whose key ${name} while its body arrived`, async () => checkRevocation(organisations));
	}

	it('serves a key under its new organisation once it has moved, and the other keys as before', async () => {
		await publish({organisations: [{...first, keys: [LONG_KEY]}, {...second, keys: [SECOND_KEY, FIRST_KEY]}]});
		assert.deepEqual(await send({key: FIRST_KEY}), [200, 'second']);
		assert.deepEqual(await send({key: LONG_KEY}), [200, 'first']);
	});

	it('refuses a revoked key within the time in which a configuration takes effect', async () => {
		const startMs = performance.now();
		version += 1;
		fleet.write('op/config', configuration({version, organisations: [second]}));
		await until(async () => {
			const {status} = await call({key: FIRST_KEY});
			return status === 401;
		});
		assert.ok(performance.now() - startMs < APPLY_MS);
	});

	it('serves the version before when two organisations have the same key', async () => {
		fleet.write('op/config', configuration({version: version + 1, organisations: [{...first, keys: [SECOND_KEY]}, second]}));
		await until(() => gateway.lines.some(({event, detail}) => event === 'routes-refused' && String(detail).includes('api-keys')));
		assert.deepEqual(await send({key: FIRST_KEY}), [200, 'first']);
	});

	it('passes credentials on only while callers are not authenticated', async () => {
		const requestId = randomUUID();
		await publish({});
		const complete = await beginWrite({requestId, key: 'open'});
		assert.deepEqual(await send({headers: {authorization: 'Basic open', 'x-tenant': 'any'}}), [200, 'any']);
		const {credentials} = fleet.records.executions.pop()!;
		assert.equal(credentials, 'Basic open');
		await publish({organisations: everyone});
		assert.match(await complete(), /^HTTP\/1\.1 503 /u);
		assert.deepEqual(fleet.executionsOf(requestId), []);
	});
});
