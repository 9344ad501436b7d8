/** Guards against a server that crashes because the uploads that eight gateways send to it at once exceed its memory. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {shardOfServer} from '@pomelopick/steering.quotas';
import type {BackendServerName} from '@pomelopick/core.types';
import {
	configuration, endpointOf, HOST, isReady, rawResponse, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {FleetDomain, GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';

const GATEWAYS = 8;
const UPLOADS = 20;
const UPLOAD_BYTES = 67_108_864;
const SLOTS = 3;
const MAX_IN_TRANSFER = 2;
const TIMEOUT_SECONDS = 6;
/** Time for which a caller retries its upload, in milliseconds: that of a change of owners, of its wait, and of all uploads. */
const RETRY_MS = 60_000;
/** Time for which the server works on an upload that it has read, in milliseconds. */
const WORK_MS = 200;
/** Time in which the rest of a response arrives after its first bytes, in milliseconds. */
const RESPONSE_MS = 50;
const SERVER = 'server-0' as BackendServerName;
const SHARD_PREFIX = 'pomelopick/quota-shards/';
const domains: readonly FleetDomain[] = ['north-a', 'north-b', 'south-a'];
const PIECE = Buffer.alloc(131_072, 'u');
/** Bytes of an upload that are sent at first: more than a gateway buffers before it chooses a server. */
const FIRST_BYTES = 70_000;
/** Interval at which a caller looks whether its upload was begun or refused, in milliseconds. */
const POLL_MS = 10;

/** A server that counts the uploads whose bodies are on their way to it. */
class UploadServer {
	/** Ids of the uploads that have arrived. */
	readonly begun = new Set<string>();
	/** Ids of the uploads that were read whole. */
	readonly read: string[] = [];
	inTransfer = 0;
	largest = 0;
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer(socket => {
		this.#accept(socket);
	});

	async start(): Promise<number> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return (this.#server.address() as AddressInfo).port;
	}

	stop(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#accept(socket: Socket): void {
		let id: string | undefined;
		let leftBytes = 0;
		const end = (): void => {
			this.inTransfer -= Number(id !== undefined);
			id = undefined;
		};

		this.#sockets.add(socket);
		socket.on('error', () => {/* A gateway that is killed resets its connections. */});
		socket.once('close', () => {
			this.#sockets.delete(socket);
			end();
		});
		socket.on('data', piece => {
			if (id === undefined) {
				const text = piece.toString('latin1');
				if (text.startsWith('GET ')) {
					socket.write(rawResponse({status: '200 OK', headers: [`x-instance-id: ${SERVER}`]}));
					return;
				}

				id = /x-request-id: (\S+)/iu.exec(text)![1]!;
				this.begun.add(id);
				this.inTransfer += 1;
				this.largest = Math.max(this.largest, this.inTransfer);
				leftBytes = UPLOAD_BYTES + text.indexOf('\r\n\r\n') + 4;
			}

			leftBytes -= piece.length;
			if (leftBytes === 0) {
				const requestId = id;
				this.read.push(requestId);
				setTimeout(() => {
					end();
					socket.write(rawResponse({status: '200 OK', headers: [`x-request-id: ${requestId}`, `x-server-stamp: ${SERVER}.${requestId}`]}));
				}, WORK_MS);
			}
		});
	}
}

describe('uploads by way of eight gateways to a server of three slots', () => {
	const server = new UploadServer();
	const gateways: GatewayProcess[] = [];
	let fleet: GatewayFleet;
	let settings: readonly GatewaySettingsInput[];

	const listOwners = (): ReadonlyArray<string | null> => fleet.platform.keyValues.read({key: SHARD_PREFIX, recurse: true}).map(({value}) => (JSON.parse(new TextDecoder().decode(value)) as {readonly owner: string | null}).owner); // eslint-disable-line @typescript-eslint/no-restricted-types

	/** Sends an upload once, and reads the response also when it comes before the end of the body; returns its status, 0 if there was none, and the time after which to retry. */
	const send = async ({id, gateway}: {readonly id: string; readonly gateway: number}): Promise<{readonly status: number; readonly retryAfterMs: number; readonly text: string}> => {
		const {address, port} = endpointOf(settings[gateway]!.listen.callers);
		const socket = connect({host: address, port});
		let text = '';
		let leftBytes = UPLOAD_BYTES - FIRST_BYTES;
		const writeMore = (): void => {
			while (leftBytes > 0 && !socket.destroyed) {
				const piece = PIECE.subarray(0, leftBytes);
				leftBytes -= piece.length;
				if (!socket.write(piece)) {
					socket.once('drain', writeMore);
					return;
				}
			}
		};

		socket.on('error', () => {/* The gateway may refuse the upload, and close the connection, before it has read the body. */});
		socket.on('data', piece => {
			text += piece.toString('latin1');
			setTimeout(() => socket.destroy(), RESPONSE_MS);
		});
		socket.write([
			`POST /upload/${id} HTTP/1.1`, `host: ${HOST}`, `x-request-id: ${id}`, `x-affinity-key: ${id}`, `x-deadline-ms: ${TIMEOUT_SECONDS * 1000}`, `content-length: ${UPLOAD_BYTES}`, '\r\n',
		].join('\r\n'));
		socket.write(PIECE.subarray(0, FIRST_BYTES));
		// A gateway closes the connection of a refused upload, and a caller that goes on writing may lose the refusal.
		const isDecided = (): boolean => text !== '' || socket.closed || server.begun.has(id);
		while (!isDecided()) {
			await sleep(POLL_MS);
		}

		if (text === '') {
			writeMore();
		}

		await new Promise<void>(resolve => {
			if (socket.closed) {
				resolve();
			}

			socket.once('close', () => {
				resolve();
			});
		});
		return {status: Number(/^HTTP\/1.1 (\d+)/u.exec(text)?.[1] ?? 0), retryAfterMs: Number(/^retry-after: (\S+)/imu.exec(text)?.[1]) * 1000, text};
	};

	/** Sends an upload until it is not refused as not run; returns the last status. */
	const sendUntilTaken = async ({id, gateway}: {readonly id: string; readonly gateway: number}): Promise<number> => {
		const endMs = Date.now() + RETRY_MS;
		for (;;) {
			const {status, retryAfterMs, text} = await send({id, gateway});
			if (status !== 503 || Date.now() > endMs) {
				return status;
			}

			// A gateway that was just started has no configuration yet.
			assert.match(text, /instance-full|configuration-missing/u);
			assert.ok(retryAfterMs > 0);
			await sleep(retryAfterMs);
		}
	};

	const sendAll = async (name: string): Promise<readonly number[]> => Promise.all(Array.from({length: UPLOADS}, async (_, index) => sendUntilTaken({id: `${name}-${index}`, gateway: index % GATEWAYS})));

	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		const port = await server.start();
		fleet.write(`servers/${SERVER}`, {
			service: 'ledger', address: `127.0.0.1:${port}`, zone: 'north-a', version: 'v1', slots: SLOTS, state: 'ready', 'warmup-left-s': 0, sequence: 1, born: 1000,
		});
		settings = await Promise.all(Array.from({length: GATEWAYS}, async (_, index) => fleet.settings({instance: `gateway-${index}`, failureDomain: domains[index % domains.length]})));
		await Promise.all(settings.map(async (own, index) => {
			gateways[index] = await startGatewayProcess({settings: own});
		}));
		await until(async () => {
			const ready = await Promise.all(settings.map(async own => isReady(own)));
			return ready.every(Boolean);
		});
	});
	after(async () => {
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		server.stop();
		await fleet.stop();
	});

	it('need no owners of shards while there is no route for them', async () => {
		await sleep(1500);
		assert.deepEqual(listOwners(), []);
	});

	it('are in transfer two at a time, and each is run once', async () => {
		fleet.write('op/config', configuration({
			version: 2, maxBodyBytes: UPLOAD_BYTES, routes: [['upload', HOST, '/upload/', 'upload', TIMEOUT_SECONDS, 5, 1, null, 1, true, [], 'ledger']],
		}));
		await until(() => new Set(listOwners()).size === 4 && !listOwners().includes(null));
		const answers = await sendAll('first');
		assert.equal(server.largest, MAX_IN_TRANSFER);
		assert.deepEqual(answers, answers.map(() => 200));
		assert.deepEqual([server.read.length, new Set(server.read).size], [UPLOADS, UPLOADS]);
	});

	it('stay within two at a time when the owner of the server\'s shard is killed, and go on when its successor has waited', async () => {
		const owner = settings.findIndex(({instance}) => instance === listOwners()[shardOfServer(SERVER)]);
		const sending = sendAll('second');
		await until(() => server.inTransfer > 0);
		gateways[owner]!.signal('SIGKILL');
		await sleep(500);
		gateways[owner] = await startGatewayProcess({settings: settings[owner]!});
		const answers = await sending;
		const others = answers.filter((_, index) => index % GATEWAYS !== owner);
		assert.equal(server.largest, MAX_IN_TRANSFER);
		assert.deepEqual(others, others.map(() => 200));
		assert.equal(new Set(server.read).size, server.read.length);
	});

	it('end no gateway by an error', () => {
		assert.deepEqual(gateways.flatMap(({errors}) => errors), []);
	});
});
