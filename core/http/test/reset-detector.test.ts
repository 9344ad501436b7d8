/** Guards against a connection that is reset together with its last data and then taken for one that the other side ended. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {Readable} from 'node:stream';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Client} from 'undici';
import type {Dispatcher} from 'undici';
import {createConnector} from '@pomelopick/core.http';
import {endOutput} from '@pomelopick/testing.sockets';

const PAUSE_MS = 200;
const CONNECT_TIMEOUT_MS = 2000;
/** More than the buffers between client and server hold. */
const UPLOAD_PIECES = 40;
const PIECE_BYTES = 1_048_576;
/** As much as is sent without waiting for the client, so that a reset behind it discards nothing. */
const LONG_BODY = 'b'.repeat(40_000);
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
const FRAMED_HEAD = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n';

interface Ending {
	readonly name: string;
	readonly expected: string;
	readonly respond: (socket: Socket) => Promise<void> | void;
}

const endings: readonly Ending[] = [
	{
		name: 'is ended in order', expected: 'whole: 8', respond(socket) {
			socket.end(`${HEAD}headpart`);
		},
	},
	{
		name: 'is ended in order, later', expected: 'whole: 8', async respond(socket) {
			socket.write(`${HEAD}head`);
			await sleep(PAUSE_MS);
			socket.end('part');
		},
	},
	{
		name: 'is ended in order and then reset', expected: 'whole: 8', async respond(socket) {
			socket.write(`${HEAD}head`);
			await sleep(PAUSE_MS);
			await endOutput({socket, data: 'part'});
			socket.resetAndDestroy();
		},
	},
	{
		name: 'is ended in order and then reset, all at once', expected: 'whole: 8', async respond(socket) {
			await sleep(PAUSE_MS);
			await endOutput({socket, data: `${HEAD}headpart`});
			socket.resetAndDestroy();
		},
	},
	{
		name: 'is ended in order behind a long response', expected: `whole: ${LONG_BODY.length}`, async respond(socket) {
			await sleep(PAUSE_MS);
			await endOutput({socket, data: `${HEAD}${LONG_BODY}`});
			socket.resetAndDestroy();
		},
	},
	{
		name: 'is reset behind a complete response', expected: 'whole: 4', async respond(socket) {
			await sleep(PAUSE_MS);
			socket.write(`${FRAMED_HEAD}body`, () => socket.resetAndDestroy());
		},
	},
	{
		name: 'is reset together with the last data', expected: 'ERR_CONNECTION_RESET', async respond(socket) {
			socket.write(`${HEAD}head`);
			await sleep(PAUSE_MS);
			socket.write('part', () => socket.resetAndDestroy());
		},
	},
	{
		name: 'is reset together with all data', expected: 'ERR_CONNECTION_RESET', async respond(socket) {
			await sleep(PAUSE_MS);
			socket.write(`${HEAD}headpart`, () => socket.resetAndDestroy());
		},
	},
	{
		name: 'is reset together with a long response', expected: 'ERR_CONNECTION_RESET', async respond(socket) {
			await sleep(PAUSE_MS);
			socket.write(`${HEAD}${LONG_BODY}`, () => socket.resetAndDestroy());
		},
	},
	{
		name: 'is reset after the last data', expected: 'ERR_CONNECTION_RESET', async respond(socket) {
			socket.write(`${HEAD}headpart`);
			await sleep(PAUSE_MS);
			socket.resetAndDestroy();
		},
	},
	{
		name: 'is reset before any data', expected: 'ERR_CONNECTION_RESET', async respond(socket) {
			await sleep(PAUSE_MS);
			socket.resetAndDestroy();
		},
	},
];

/** What is sent to the server while it responds. */
interface Upload {
	readonly name: string;
	readonly isRead: boolean;
	/** Pause between two pieces, in milliseconds; undefined: nothing is uploaded. */
	readonly pieceIntervalMs: number | undefined;
}

const uploads: readonly Upload[] = [
	{name: 'nothing is uploaded', isRead: true, pieceIntervalMs: undefined},
	{name: 'an upload is read', isRead: true, pieceIntervalMs: 2},
	{name: 'an upload is not read', isRead: false, pieceIntervalMs: 0},
];

async function * upload(pieceIntervalMs: number): AsyncGenerator<Uint8Array> {
	for (let piece = 0; piece < UPLOAD_PIECES; piece += 1) {
		yield new Uint8Array(PIECE_BYTES);
		await sleep(pieceIntervalMs);
	}
}

async function receive({client, pieceIntervalMs}: {readonly client: Client; readonly pieceIntervalMs: number | undefined}): Promise<string> {
	const body = pieceIntervalMs === undefined ? null : Readable.from(upload(pieceIntervalMs), {objectMode: false}); // eslint-disable-line @typescript-eslint/no-restricted-types
	return new Promise(resolve => {
		let bytes = 0;
		const handler: Dispatcher.DispatchHandler = {
			onRequestStart() {/* Required by the library. */},
			onResponseStart() {/* Required by the library. */},
			onResponseData(_controller, piece) {
				bytes += piece.length;
			},
			onResponseEnd() {
				resolve(`whole: ${bytes}`);
			},
			onResponseError(_controller, error: Error & {code?: string}) {
				resolve(error.code ?? error.message);
			},
		};
		client.dispatch({method: body ? 'POST' : 'GET', path: '/', body}, handler);
	});
}

/** Gets one response from a server that handles its first connection as told. */
async function receiveFrom({respond, isRead, pieceIntervalMs}: Pick<Ending, 'respond'> & Pick<Upload, 'isRead' | 'pieceIntervalMs'>): Promise<string> {
	const server = createServer({allowHalfOpen: true}, socket => {
		socket.on('error', () => {/* The client may close the connection first. */});
		socket.once('data', () => {
			if (isRead) {
				socket.resume();
			} else {
				socket.pause();
			}

			void respond(socket);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {connect: createConnector({timeoutMs: CONNECT_TIMEOUT_MS})});
	try {
		return await receive({client, pieceIntervalMs});
	} finally {
		await client.destroy();
		server.close();
	}
}

describe('a response on a connection', () => {
	for (const {name: ending, expected, respond} of endings) {
		for (const {name, isRead, pieceIntervalMs} of uploads) {
			it(`that ${ending}, while ${name}`, async () => {
				assert.equal(await receiveFrom({respond, isRead, pieceIntervalMs}), expected);
			});
		}
	}
});
