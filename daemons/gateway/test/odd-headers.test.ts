/** Guards against gateways that end because of the headers of a server. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {
	after, before, describe, it,
} from 'node:test';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	callGateway, endpointOf, isReady, rawResponse, startGatewayFleet, startGatewayProcess, startRawServer, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess, RawServer} from '@pomelopick/testing.gateway-fleet';

const SHOWN_CHARACTERS = 600;
const LARGE = 65_536;

const names = [
	'server-limit', 'retry-after', 'x-server-load', 'x-warmup-ms', 'x-instance-id', 'keep-alive', 'server-leaving', 'connection', 'x-not-executed', 'x-server-stamp', 'x-request-id', 'content-encoding', 'trailer', 'upgrade',
];
const values: ReadonlyArray<{name: string; headersOf: (header: string) => readonly string[]}> = [
	{name: 'no value', headersOf: header => [`${header}:`]},
	{name: 'values of other types', headersOf: header => [`${header}: [object Object]`]},
	{name: 'numbers too large', headersOf: header => [`${header}: ${'9'.repeat(400)}`]},
	{name: 'powers of ten', headersOf: header => [`${header}: timeout=1e999, 1e999`]},
	{name: 'negative numbers', headersOf: header => [`${header}: timeout=-1, -1`]},
	// A valid limit would hold back the requests that follow.
	{name: 'numbers with long fractions', headersOf: header => [`${header}: ${header === 'server-limit' ? '' : 0}.${'0'.repeat(300)}1`]},
	{name: 'repeated headers', headersOf: header => [`${header}: 1`, `${header}: 2`, `${header}: timeout=1`]},
	{name: 'bytes above ASCII', headersOf: header => [`${header}: \u00FF\u0080`]},
	{name: '64 KB', headersOf: header => [`${header}: ${'x'.repeat(LARGE)}`]},
	{name: 'control characters', headersOf: header => [`${header}: a\u0000b`]},
	{name: 'a name that is none', headersOf: header => [`${header} x: 1`, ': 1']},
];
const statuses = ['200 OK', '503 Service Unavailable', '421 Misdirected Request', '429 Too Many Requests', '103 Early Hints', '101 Switching Protocols', '999 X', '000 X'];

describe('a gateway whose servers send odd headers', () => {
	let fleet: GatewayFleet;
	let odd: RawServer;
	let settings: GatewaySettingsInput;
	let gateway: GatewayProcess;
	let respond: (requestId: string) => string;
	let reached = 0;
	let startedAtMs = 1;

	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		odd = await startRawServer({
			name: 'odd', onRequest({socket, requestId}) {
				reached += 1;
				socket.end(respond(requestId), 'latin1');
			},
		});
		fleet.register({server: odd, failureDomain: 'north-a'});
		settings = await fleet.settings();
		gateway = await startGatewayProcess({settings});
		await until(async () => isReady(settings));
	});
	after(async () => {
		gateway.signal('SIGKILL');
		await gateway.stop();
		await odd.stop();
		await fleet.stop();
	});

	const call = async (): Promise<void> => {
		await callGateway({endpoint: endpointOf(settings.listen.callers), object: randomUUID(), timeLeftMs: 1000});
	};

	const check = async (headersOf: typeof values[number]['headersOf']): Promise<void> => {
		reached = 0;
		for (const status of statuses) {
			// A new start of the server takes back what the one before announced.
			startedAtMs += 1;
			fleet.register({server: odd, failureDomain: 'north-a', startedAtMs});
			for (const header of names) {
				respond = requestId => rawResponse({status, headers: [`x-request-id: ${requestId}`, 'x-server-stamp: a', ...headersOf(header)], body: 'body'});
				await call();
			}
		}

		assert.equal(reached, statuses.length * names.length, 'each response has to be read');
		assert.ok(!gateway.hasExited(), gateway.errors.join('').slice(0, SHOWN_CHARACTERS));
		assert.equal(await isReady(settings), true);
	};

	for (const {name, headersOf} of values) {
		it(`goes on after ${name}`, async () => check(headersOf));
	}
});
