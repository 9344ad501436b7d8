/** Guards against requests that reach a backend server without their body, or are refused, because of the number of their headers. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	array, assert as checkProperty, asyncProperty, constantFrom, integer, nat, record, string, stringMatching, uniqueArray,
} from 'fast-check';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import type {Endpoint} from '@pomelopick/core.types';
import {
	configuration, endpointOf, HOST, partitionFlags, setPartition, startGatewayFleet, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import {startConnectedGateways} from './fixture.js';
import {startRecordingServer} from './recording-server.js';
import type {RecordedRequest, RecordingServer} from './recording-server.js';

const PROPERTY_SEED = 550_601;
const PROPERTY_RUNS = 60;
const MAX_BODY_BYTES = 300_000;
const LARGE_BODY = 'large'.repeat(40_000);
const SMALL_BODY = '{"tonnes":12}';
/** Headers of one byte that fit into what the parser takes, and are above the operator's maximum. */
const TINY_HEADERS = 60_000;
/** Time for which a request may occupy the gateway's event loop, in milliseconds. */
const MAX_STALL_MS = 1000;

type Header = readonly [name: string, value: string];

interface SentRequest {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly Header[];
	/** Bytes behind the head: a body with its framing. */
	readonly content: string;
}

function encode({method, path, headers, content}: SentRequest): string {
	return `${[`${method} ${path} HTTP/1.1`, ...headers.map(([name, value]) => `${name}: ${value}`)].join('\r\n')}\r\n\r\n${content}`;
}

/** Sends a request on a connection of its own; returns all that came back. */
async function send({endpoint, text}: {readonly endpoint: Endpoint; readonly text: string}): Promise<string> {
	return new Promise(resolve => {
		const socket = connect({host: endpoint.address, port: endpoint.port});
		let received = '';
		socket.setEncoding('latin1');
		socket.on('error', () => {/* The connection may be reset. */});
		socket.on('data', (piece: string) => {
			received += piece;
		});
		socket.on('close', () => {
			resolve(received);
		});
		socket.write(text, 'latin1');
	});
}

const extraHeaders = (count: number): readonly Header[] => Array.from({length: count}, (_, index) => [`h${index.toString(36)}`, '1'] as const);
const lengthOf = (body: string): Header => ['content-length', String(Buffer.byteLength(body))];
const chunked: Header = ['transfer-encoding', 'chunked'];
const inChunks = (body: string): string => `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;

interface Framing {
	readonly name: string;
	readonly body: string;
	readonly header: Header;
	readonly content: string;
}

const framings: readonly Framing[] = [
	{
		name: 'a length', body: SMALL_BODY, header: lengthOf(SMALL_BODY), content: SMALL_BODY,
	},
	{
		name: 'chunks', body: SMALL_BODY, header: chunked, content: inChunks(SMALL_BODY),
	},
	{
		name: 'a large length', body: LARGE_BODY, header: lengthOf(LARGE_BODY), content: LARGE_BODY,
	},
	{
		name: 'large chunks', body: LARGE_BODY, header: chunked, content: inChunks(LARGE_BODY),
	},
];
const counts = [20, 99, 120, 1500] as const;

/** Headers that concern one connection, and those that the gateway or the recording server's client states itself. */
const ownHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'x-deadline-ms', 'x-expect-instance']);

function endToEnd(rawHeaders: readonly string[]): readonly string[] {
	const lines: string[] = [];
	for (let position = 0; position < rawHeaders.length; position += 2) {
		const name = rawHeaders[position]!.toLowerCase();
		if (!ownHeaders.has(name)) {
			lines.push(`${name}: ${rawHeaders[position + 1]!}`);
		}
	}

	return lines.sort((left, right) => left < right ? -1 : 1);
}

describe('a request with many headers', () => {
	let fleet: GatewayFleet;
	let server: RecordingServer;
	let settings: readonly GatewaySettingsInput[];
	let gateways: readonly GatewayProcess[];

	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		fleet.write('op/config', configuration({version: 2, maxBodyBytes: MAX_BODY_BYTES}));
		server = await startRecordingServer('recording');
		fleet.register({server, failureDomain: 'north-a'});
		settings = await Promise.all(['near', 'cut'].map(async instance => fleet.settings({instance})));
		gateways = await startConnectedGateways({settings, engineFlags: partitionFlags});
		await setPartition({settingsPath: gateways[1]!.settingsPath, partition: {open: 'reset', connecting: 'refused', ports: [server.port]}});
		await sleep(100);
		await until(async () => {
			const {response} = await call({
				gateway: 1, request: {
					method: 'GET', path: '/read/x', headers: [], content: '',
				},
			});
			return response.startsWith('HTTP/1.1 200');
		});
	});
	after(async () => {
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		await server.stop();
		await fleet.stop();
	});

	/** Sends a request with the headers of the platform's clients in front of its own, or behind them. */
	const call = async ({gateway, request, isLast = false}: {readonly gateway: number; readonly request: SentRequest; readonly isLast?: boolean}): Promise<{response: string; arrived: readonly RecordedRequest[]; id: string}> => {
		const id = randomUUID();
		const usual: readonly Header[] = [['host', HOST], ['connection', 'close'], ['x-request-id', id], ['x-affinity-key', '17'], ['x-deadline-ms', '3000']];
		const headers = isLast ? [...request.headers, ...usual] : [...usual, ...request.headers];
		const response = await send({endpoint: endpointOf(settings[gateway]!.listen.callers), text: encode({...request, headers})});
		return {response, arrived: server.requests.get(id) ?? [], id};
	};

	const paths = [{name: 'sent to a server', gateway: 0}, {name: 'forwarded to another gateway', gateway: 1}] as const;
	for (const {name: path, gateway} of paths) {
		for (const count of counts) {
			for (const {name, body, header, content} of framings) {
				it(`keeps its body: ${count} headers and then ${name}, ${path}`, async () => {
					const {response, arrived} = await call({
						gateway, request: {
							method: 'POST', path: '/write/x', headers: [...extraHeaders(count), header], content,
						},
					});
					assert.match(response, /^HTTP\/1\.1 200 /u);
					assert.deepEqual(arrived.map(request => Buffer.from(request.body).toString()), [body]);
				});
			}

			it(`is served: ${count} headers and then its identifier, deadline and object, ${path}`, async () => {
				const {response, arrived} = await call({
					gateway, isLast: true, request: {
						method: 'GET', path: '/read/x', headers: extraHeaders(count), content: '',
					},
				});
				assert.match(response, /^HTTP\/1\.1 200 /u);
				assert.equal(arrived.length, 1);
			});
		}

		it(`arrives with method, path, body and all its headers as sent, ${path}`, async () => {
			const token = stringMatching(/^x-[\w!#$%&'*+.^`|~-]{1,12}$/u);
			const value = stringMatching(/^(?:[!-~](?:[\t -~]{0,20}[!-~])?)?$/u);
			const property = asyncProperty(record({
				method: constantFrom('GET', 'POST', 'PUT', 'PATCH', 'DELETE'),
				segment: stringMatching(/^[\w~.-]{0,20}(?:\?[\w=&%+]{0,20})?$/u),
				headers: uniqueArray(record({name: token, value}), {maxLength: 300, size: 'max', selector: ({name}) => name.toLowerCase()}),
				body: string({unit: 'binary-ascii', maxLength: 400}),
				isChunked: constantFrom(true, false),
				position: nat(300),
				padding: array(integer({min: 0, max: 9}), {maxLength: 3}),
			}), async ({method, segment, headers, body, isChunked, position, padding}) => {
				const own = [...headers.map(({name, value: text}) => [name, text] as const), ...extraHeaders(padding.reduce((sum, digit) => (sum * 8) + digit, 0))];
				const framed = [...own.slice(0, position), isChunked ? chunked : lengthOf(body), ...own.slice(position)];
				const content = isChunked ? `${body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`}0\r\n\r\n` : body;
				const {response, arrived: [request, ...others], id} = await call({
					gateway, request: {
						method, path: `/write/${segment}`, headers: framed, content,
					},
				});
				assert.match(response, /^HTTP\/1\.1 200 /u);
				assert.equal(others.length, 0);
				assert.deepEqual([request!.method, request!.path, Buffer.from(request!.body).toString('latin1')], [method, `/write/${segment}`, body]);
				const expected = [['host', HOST], ['x-request-id', id], ['x-affinity-key', '17'], ...own].flat();
				assert.deepEqual(endToEnd(request!.rawHeaders), endToEnd(expected));
			});
			await checkProperty(property, {seed: PROPERTY_SEED, numRuns: PROPERTY_RUNS});
		});
	}

	it('is refused whole when the headers are above the operator\'s maximum', async () => {
		const startMs = performance.now();
		const {response, arrived} = await call({
			gateway: 0, request: {
				method: 'POST', path: '/write/x', headers: [...Array.from({length: TINY_HEADERS}, () => ['a', ''] as const), lengthOf(SMALL_BODY)], content: SMALL_BODY,
			},
		});
		assert.match(response, /^HTTP\/1\.1 431 /u);
		assert.deepEqual(arrived, []);
		assert.ok(performance.now() - startMs < MAX_STALL_MS);
	});
});
