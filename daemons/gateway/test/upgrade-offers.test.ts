/** Guards against a process that ends because a client that offers an upgrade resets its connection, and against refused offers. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, HOST, rawResponse, until,
} from '@pomelopick/testing.gateway-fleet';
import {startGatewayWithRawServers} from './fixture.js';
import type {GatewayWithRawServers} from './fixture.js';

const WORK_MS = 60;
const CALLERS = 6;
const BODY = 'body';

/** Header lines by which clients offer another protocol. */
const offers: Readonly<Record<string, readonly string[]>> = {
	h2c: ['connection: Upgrade, HTTP2-Settings', 'upgrade: h2c', 'http2-settings: AAMAAABkAAQAoAAAAAIAAAAA'],
	websocket: ['connection: Upgrade', 'upgrade: websocket', 'sec-websocket-version: 13', 'sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ=='],
};
const methods = ['GET', 'POST'] as const;

const resets: ReadonlyArray<{name: string; reset: (socket: Socket) => Promise<void>}> = [
	{
		name: 'at once', async reset(socket) {
			await sleep(1);
			socket.resetAndDestroy();
		},
	},
	{
		name: 'while the server works', async reset(socket) {
			await sleep(WORK_MS / 2);
			socket.resetAndDestroy();
		},
	},
	{
		name: 'with the response unread', async reset(socket) {
			await sleep(WORK_MS * 2);
			socket.resetAndDestroy();
		},
	},
];

function encodeRequest({id, method, lines}: {readonly id: string; readonly method: 'GET' | 'POST'; readonly lines: readonly string[]}): string {
	return [
		`${method} ${method === 'GET' ? '/read/x' : '/write/x'} HTTP/1.1`,
		`host: ${HOST}`,
		`x-request-id: ${id}`,
		'x-deadline-ms: 3000',
		...lines,
		...(method === 'POST' ? [`content-length: ${BODY.length}`] : []),
		'',
		method === 'POST' ? BODY : '',
	].join('\r\n');
}

describe('a client that offers an upgrade', () => {
	const ran: string[] = [];
	let started: GatewayWithRawServers;
	before(async () => {
		started = await startGatewayWithRawServers({
			servers: 3, onRequest({request: {requestId, socket}}) {
				ran.push(requestId);
				setTimeout(() => {
					socket.write(rawResponse({status: '200 OK', headers: [`x-request-id: ${requestId}`, `x-server-stamp: server.${requestId}`], body: requestId}));
				}, WORK_MS);
			},
		});
	});
	after(async () => {
		await started.stop();
	});

	const open = (text: string): {socket: Socket; received: () => string} => {
		const {address, port} = endpointOf(started.settings.listen.callers);
		let received = '';
		const socket = connect({host: address, port});
		socket.on('error', () => {/* The connection may be reset. */});
		socket.on('data', piece => {
			received += piece.toString('latin1');
		});
		socket.write(text);
		return {socket, received: () => received};
	};

	const checkLiving = async (): Promise<void> => {
		await sleep(WORK_MS);
		assert.deepEqual([started.gateway.errors, started.gateway.hasExited()], [[], false]);
		const {status} = await callGateway({endpoint: endpointOf(started.settings.listen.callers), path: '/read/sound'});
		assert.equal(status, 200);
	};

	for (const [offer, lines] of Object.entries(offers)) {
		for (const method of methods) {
			it(`is answered: ${method}, ${offer}`, async () => {
				const {socket, received} = open(encodeRequest({id: `${offer}-${method}`, method, lines}));
				await until(() => received().endsWith(`${offer}-${method}`) || socket.destroyed);
				assert.match(received(), /^HTTP\/1\.1 200 /u);
				socket.destroy();
			});

			it(`is answered behind another request: ${method}, ${offer}`, async () => {
				const {socket, received} = open(`${encodeRequest({id: 'in-front', method: 'GET', lines: []})}${encodeRequest({id: `${offer}-${method}-behind`, method, lines})}`);
				await until(() => received().endsWith(`${offer}-${method}-behind`) || socket.destroyed);
				assert.equal(received().match(/HTTP\/1\.1 200 /gu)?.length, 2);
				socket.destroy();
			});

			it(`is told that its connection closes, and nothing behind its request is run: ${method}, ${offer}`, async () => {
				const id = `${offer}-${method}-last`;
				const {socket, received} = open(`${encodeRequest({id, method, lines})}${encodeRequest({id: `${id}-dropped`, method: 'POST', lines: []})}`);
				await sleep(WORK_MS / 2);
				socket.write(encodeRequest({id: `${id}-late`, method: 'POST', lines: []}));
				await until(() => socket.destroyed);
				assert.match(received(), /^HTTP\/1\.1 200 [^]*\r\nconnection: close\r\n/iu);
				assert.deepEqual(ran.filter(other => other.startsWith(id)), [id]);
			});

			for (const {name, reset} of resets) {
				it(`ends no process when it resets its connection ${name}: ${method}, ${offer}`, async () => {
					const sockets = Array.from({length: CALLERS}, (_, index) => open(encodeRequest({id: `${offer}-${method}-${index}`, method, lines})).socket);
					await Promise.all(sockets.map(async socket => reset(socket)));
					await checkLiving();
				});
			}
		}
	}

	it('is answered when its body comes later', async () => {
		const [head, body] = encodeRequest({id: 'late-body', method: 'POST', lines: offers.h2c!}).split('\r\n\r\n');
		const {socket, received} = open(`${head}\r\n\r\n`);
		await sleep(WORK_MS / 2);
		socket.write(body!);
		await until(() => received().endsWith('late-body') || socket.destroyed);
		assert.match(received(), /^HTTP\/1\.1 200 /u);
		socket.destroy();
	});

	it('ends no process when it asks for a tunnel and resets its connection', async () => {
		await Promise.all(Array.from({length: CALLERS}, async () => {
			const {socket} = open(`CONNECT ${HOST}:443 HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`);
			await sleep(1);
			socket.resetAndDestroy();
		}));
		await checkLiving();
	});

	it('gets the response to a request in front of one for a tunnel, and then the refusal', async () => {
		const {socket, received} = open(`${encodeRequest({id: 'tunnel', method: 'GET', lines: []})}CONNECT ${HOST}:443 HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`);
		await until(() => socket.destroyed);
		assert.match(received(), /^HTTP\/1\.1 200 [^]*tunnelHTTP\/1\.1 400 /u);
	});
});
