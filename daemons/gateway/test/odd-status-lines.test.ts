/** Guards against what is no HTTP/1 response, has no HTTP status code (RFC 9110, section 15) or a field name that is no token (section 5.1), and reaches a caller or is acted upon. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, malformedFields, partitionFlags, PipeliningCaller, setPartition, startGatewayFleet, startRawServer, until,
} from '@pomelopick/testing.gateway-fleet';
import type {
	CallerResponse, GatewayFleet, GatewayProcess, RawServer,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {startConnectedGateways} from './fixture.js';

const TIME_LEFT_MS = 1500;
const BODY = 'body of the server';
const good = 'HTTP/1.1 200 OK';

/** Heads with such a field line behind a good status line. */
const headsWithMalformedFields = malformedFields.map(field => `${good}\r\n${field}`);

const refused: readonly string[] = [
	...headsWithMalformedFields,
	'HTTP/1.1 000 X',
	'HTTP/1.1 001 X',
	'HTTP/1.1 099 X',
	'HTTP/1.1 20 X',
	'HTTP/1.1 2000 X',
	'HTTP/1.1 100 Continue',
	'HTTP/1.1 101 Switching Protocols',
	'HTTP/1.1 102 Processing',
	'HTTP/1.1 103 Early Hints',
	'HTTP/1.1 150 X',
	'HTTP/1.1 199 X',
	'HTTP/1.1 600 X',
	'HTTP/1.1 601',
	'HTTP/1.1 700 X',
	'HTTP/1.1 999 X',
	'HTTP/2.0 200 OK',
	'HTTP/0.9 200 OK',
	'HTTP/1.2 200 OK',
	'HTTP/3.0 200 OK',
	'HTTP/1.1',
	'HTTP/1.1 ',
	'HTTP/1.1 OK',
	'HTTP/1.1 -20 X',
	'200 OK',
	'ICY 200 OK',
];
const passed: ReadonlyArray<{line: string; status: number}> = [
	{line: 'HTTP/1.1 200 OK', status: 200}, {line: 'HTTP/1.0 200 OK', status: 200}, {line: 'HTTP/1.1 299 X', status: 299}, {line: 'HTTP/1.1 404 X', status: 404}, {line: 'HTTP/1.1 500 X', status: 500}, {line: 'HTTP/1.1 599 X', status: 599},
];

/** Bytes of a response that is right but for its status line. */
function respondWith({line, requestId}: {readonly line: string; readonly requestId: string}): string {
	return [line, `x-request-id: ${requestId}`, `x-server-stamp: odd.${requestId}`, `content-length: ${BODY.length}`, '', BODY].join('\r\n');
}

describe('a gateway whose servers send odd status lines and field names', () => {
	let fleet: GatewayFleet;
	let servers: readonly RawServer[];
	let settings: readonly GatewaySettingsInput[];
	let gateways: readonly GatewayProcess[];
	let line = good;
	let interimLine: string | undefined;
	let healthLine = good;
	let startedAtMs = 1;

	/** Registers new starts of the servers, which are not avoided for what the ones before did. */
	const startAnew = (): void => {
		startedAtMs += 1;
		for (const server of servers) {
			fleet.register({server, failureDomain: 'north-a', startedAtMs});
		}
	};

	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		servers = await Promise.all(['odd-0', 'odd-1'].map(async name => startRawServer({
			name,
			onRequest({requestId, socket}) {
				if (requestId.startsWith('dropped')) {
					socket.resetAndDestroy();
					return;
				}

				socket.write(requestId.startsWith('good') ? respondWith({line: good, requestId}) : `${interimLine === undefined ? '' : `${interimLine}\r\n\r\n`}${respondWith({line, requestId})}`, 'latin1');
			},
			healthResponse: () => [healthLine, `x-instance-id: ${name}`, 'server-leaving: 1', 'content-length: 0', '', ''].filter(text => healthLine !== good || text !== 'server-leaving: 1').join('\r\n'),
		})));
		settings = await Promise.all([0, 1].map(async number => fleet.settings({instance: `gateway-${number}`, shutdownSeconds: 2})));
		startAnew();
		gateways = await startConnectedGateways({settings, engineFlags: partitionFlags});
	});
	after(async () => {
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		await Promise.all(servers.map(async server => server.stop()));
		await fleet.stop();
	});

	const call = async (method: 'GET' | 'POST', requestId: string = randomUUID()): Promise<CallerResponse> => callGateway({
		endpoint: endpointOf(settings[0]!.listen.callers), method, path: method === 'POST' ? '/write/x' : '/read/x', requestId, object: randomUUID(), timeLeftMs: TIME_LEFT_MS, ...(method === 'POST' && {body: 'x'}),
	});

	const checkRefused = async (odd: string): Promise<void> => {
		line = odd;
		startAnew();
		const answers = await Promise.all([call('GET'), call('POST')]);
		line = good;
		assert.deepEqual(answers.map(({status}) => status).filter(status => ![502, 504].includes(status)), [], JSON.stringify(answers.map(({status, text}) => [status, text])));
		assert.ok(answers.every(({text}) => text.includes('"execution":"unknown"') && !text.includes(BODY)));
		// Interim responses are followed by a final one, for which the gateway has to wait; for any other it must not wait until the deadline, which is answered with 504.
		const mayBeInterim = /^HTTP\/1\.1 1\d\d/u.test(odd);
		assert.ok(mayBeInterim || answers.every(({status}) => status === 502), answers.map(({status}) => status).join(' '));
		startAnew();
		// The gateway may not have heard of the new starts yet.
		await until(async () => {
			const {status} = await call('POST', `good-${randomUUID()}`);
			return status === 200;
		});
	};

	const checkPassed = async ({line: usual, status: expected}: typeof passed[number]): Promise<void> => {
		line = usual;
		startAnew();
		const {status, text} = await call('POST');
		line = good;
		assert.deepEqual([status, text], [expected, BODY]);
	};

	for (const odd of refused) {
		it(`refuses ${JSON.stringify(odd)}`, async () => checkRefused(odd));
	}

	for (const usual of passed) {
		it(`passes ${usual.line} on`, async () => checkPassed(usual));
	}

	const checkBehindInterim = async (odd: string): Promise<void> => {
		interimLine = 'HTTP/1.1 103 Early Hints';
		try {
			await checkRefused(odd);
		} finally {
			interimLine = undefined;
		}
	};

	const checkBehindPipelined = async (odd: string): Promise<void> => {
		line = odd;
		startAnew();
		const caller = new PipeliningCaller(endpointOf(settings[0]!.listen.callers));
		const requestIds = [`good-${randomUUID()}`, randomUUID(), `good-${randomUUID()}`];
		for (const requestId of requestIds) {
			caller.send({
				requestId, path: '/write/x', method: 'POST', body: 'x', timeLeftMs: TIME_LEFT_MS,
			});
		}

		await until(() => caller.responses.length === requestIds.length);
		caller.close();
		line = good;
		assert.deepEqual(caller.responses.map(({requestId, status}) => [requestId, status]), requestIds.map((requestId, index) => [requestId, index === 1 ? 502 : 200]));
	};

	for (const odd of ['HTTP/1.1 999 X', 'HTTP/2.0 200 OK', 'HTTP/1.1 099 X', headsWithMalformedFields[0]!, headsWithMalformedFields[3]!]) {
		it(`refuses ${JSON.stringify(odd)} behind an interim response`, async () => checkBehindInterim(odd));

		it(`refuses ${JSON.stringify(odd)} behind a pipelined response, and serves the request behind it`, async () => checkBehindPipelined(odd));
	}

	const checkHealth = async (odd: string): Promise<void> => {
		healthLine = odd;
		startAnew();
		const known = gateways[0]!.lines.length;
		await call('POST', `dropped-${randomUUID()}`);
		await sleep(300);
		healthLine = good;
		assert.deepEqual(gateways[0]!.lines.slice(known).filter(({event}) => event === 'server-leaves' || event === 'contact-confirmed'), []);
		assert.ok(!gateways[0]!.hasExited());
	};

	for (const odd of ['HTTP/1.1 000 X', 'HTTP/1.1 600 X', 'HTTP/1.1 999 X', 'HTTP/2.0 200 OK', 'HTTP/0.9 200 OK', headsWithMalformedFields[0]!, headsWithMalformedFields[3]!]) {
		it(`believes nothing that a health response with ${JSON.stringify(odd)} says`, async () => checkHealth(odd));
	}

	describe('and that reaches them by way of a second gateway', () => {
		before(async () => {
			await setPartition({settingsPath: gateways[0]!.settingsPath, partition: {open: 'reset', connecting: 'refused', ports: servers.map(({port}) => port)}});
			await sleep(100);
			await until(async () => {
				const {status} = await call('GET');
				return status === 200;
			});
		});

		const checkForwarded = async (odd: string): Promise<void> => {
			line = odd;
			startAnew();
			let answer = await call('POST');
			// The gateway that could not help before is not asked for a while; such a request has not run.
			await until(async () => {
				answer = await call('POST');
				return answer.status !== 503;
			});
			line = good;
			const {status, text} = answer;
			assert.ok([502, 504].includes(status), String(status));
			assert.ok(text.includes('"execution":"unknown"') && !text.includes(BODY));
		};

		for (const odd of ['HTTP/1.1 000 X', 'HTTP/1.1 20 X', 'HTTP/1.1 101 Switching Protocols', 'HTTP/1.1 600 X', 'HTTP/1.1 999 X', 'HTTP/2.0 200 OK', 'HTTP/0.9 200 OK', headsWithMalformedFields[0]!, headsWithMalformedFields[3]!, headsWithMalformedFields[12]!]) {
			it(`refuses ${JSON.stringify(odd)}`, async () => checkForwarded(odd));
		}
	});
});
