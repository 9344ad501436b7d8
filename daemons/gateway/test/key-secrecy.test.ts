/** Guards against keys that leave the gateway, and against valid keys that are refused, for any shape of headers and trailers. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import fc from 'fast-check';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	configuration, endpointOf, HOST, startGatewayFleet,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet} from '@pomelopick/testing.gateway-fleet';
import {startReadyGateway} from './fixture.js';
import type {LoggedGateway} from './fixture.js';
import {startRecordingServer} from './recording-server.js';
import type {RecordingServer} from './recording-server.js';

const RUNS = 400;
const SEED = 20_261_207;
const keys: Readonly<Record<string, string>> = {'secret-1': 'first', 'secret-2': 'second'};
const ORGANISATION = 'x-tenant';

interface Shape {
	readonly isPublic: boolean;
	readonly isWrite: boolean;
	readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
	readonly trailers: ReadonlyArray<readonly [name: string, value: string]>;
}

/** Writes a name with some of its letters in capitals. */
const inAnyCase = (name: string): fc.Arbitrary<string> => fc.array(fc.boolean(), {minLength: name.length, maxLength: name.length})
	.map(capitals => [...name].map((letter, index) => capitals[index] ? letter.toUpperCase() : letter).join(''));
const key = fc.constantFrom('secret-1', 'secret-2', 'secret-of-nobody', 'secret-');
const scheme = fc.oneof({weight: 4, arbitrary: inAnyCase('bearer')}, {weight: 1, arbitrary: fc.constantFrom('Basic', 'BearerX', '', 'Bearer Bearer')});
const credentials = fc.oneof(
	{weight: 6, arbitrary: fc.tuple(scheme, fc.constantFrom(' ', '  ', ''), key, fc.constantFrom('', ' ', ',', ', Bearer secret-1')).map(parts => parts.join(''))},
	{weight: 1, arbitrary: fc.constantFrom('', 'Bearer', 'Bearer ')},
);
const header: fc.Arbitrary<readonly [string, string]> = fc.oneof(
	{weight: 4, arbitrary: fc.tuple(inAnyCase('authorization'), credentials)},
	{weight: 2, arbitrary: fc.tuple(inAnyCase(ORGANISATION), fc.constantFrom('first', 'second', 'third', ''))},
	{weight: 2, arbitrary: fc.tuple(inAnyCase('connection'), fc.constantFrom('Authorization', 'x-tenant', 'keep-alive, AUTHORIZATION', 'close, X-Tenant', 'x-request-id'))},
	{weight: 1, arbitrary: fc.tuple(fc.constantFrom('x-forwarded-organisation', 'x-forwarded-service', 'x-forwarded-refused-after'), fc.constantFrom('first', 'second'))},
	{weight: 1, arbitrary: fc.tuple(fc.constantFrom('__proto__', 'constructor', 'accept', 'proxy-authorization', 'te'), fc.constantFrom('x', 'trailers'))},
);
const shape: fc.Arbitrary<Shape> = fc.record({
	isPublic: fc.boolean(), isWrite: fc.boolean(), headers: fc.array(header, {maxLength: 5}), trailers: fc.array(header, {maxLength: 2}),
});

/** The organisation of a request, by its definition: one header, the scheme in any case, and a key of the configuration. */
function findOrganisation({headers}: Shape): string | undefined {
	const values = headers.filter(([name]) => name.toLowerCase() === 'authorization').map(([, value]) => value.trim());
	const parts = values.length === 1 ? values[0]!.split(/ +/u) : [];
	return parts.length === 2 && parts[0]!.toLowerCase() === 'bearer' ? keys[parts[1]!] : undefined;
}

describe('a request with any headers', () => {
	let fleet: GatewayFleet;
	let server: RecordingServer;
	let settings: GatewaySettingsInput;
	let gateway: LoggedGateway;
	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		fleet.write('op/config', configuration({
			version: 2,
			organisations: [{name: 'first', keys: ['secret-1']}, {name: 'second', keys: ['secret-2']}],
			publicRoutes: ['/public/'],
		}));
		server = await startRecordingServer('recording');
		fleet.register({server, failureDomain: 'north-a'});
		settings = await fleet.settings();
		gateway = await startReadyGateway(settings);
	});
	after(async () => {
		await gateway.stop();
		await server.stop();
		await fleet.stop();
	});

	const send = async ({id, shape: {isPublic, isWrite, headers, trailers}}: {readonly id: string; readonly shape: Shape}): Promise<string> => {
		const {address, port} = endpointOf(settings.listen.callers);
		const socket = connect({host: address, port});
		let received = '';
		socket.setEncoding('latin1').on('data', (piece: string) => {
			received += piece;
		});
		const path = isPublic ? '/public/x' : (isWrite ? '/write/x' : '/read/x');
		const lines = headers.map(([name, value]) => `${name}: ${value}`);
		const body = isWrite ? ['transfer-encoding: chunked', '', '1', 'x', '0', ...trailers.map(([name, value]) => `${name}: ${value}`), '', ''] : ['', ''];
		socket.write([`${isWrite ? 'POST' : 'GET'} ${path} HTTP/1.1`, `host: ${HOST}`, 'connection: close', `x-request-id: ${id}`, 'x-deadline-ms: 3000', ...lines, ...body].join('\r\n'));
		await once(socket, 'close');
		return received;
	};

	it(`runs as the organisation of its key, which no one receives (seed ${SEED})`, async () => {
		await fc.assert(fc.asyncProperty(shape, async drawn => {
			const id = randomUUID();
			const response = await send({id, shape: drawn});
			const organisation = findOrganisation(drawn);
			const mayPass = organisation !== undefined || drawn.isPublic;
			assert.match(response, mayPass ? /^HTTP\/1\.1 200 /u : /^HTTP\/1\.1 401 [\s\S]*www-authenticate: Bearer\r\n/u);
			const requests = server.requests.get(id) ?? [];
			assert.equal(requests.length, Number(mayPass));
			assert.doesNotMatch(`${response}${JSON.stringify(requests)}`, /secret/u);
			const stated = requests.flatMap(({rawHeaders}) => rawHeaders.filter((_, position) => position % 2 === 1 && rawHeaders[position - 1]!.toLowerCase() === ORGANISATION));
			assert.deepEqual(stated, organisation === undefined ? [] : [organisation]);
		}), {numRuns: RUNS, seed: SEED});
		const metrics = await fetch(`http://${settings.listen.metrics}/metrics`);
		assert.doesNotMatch(`${await metrics.text()}${JSON.stringify(gateway.lines)}`, /secret/u);
		assert.ok(gateway.lines.some(({event}) => event === 'request'));
	});
});
