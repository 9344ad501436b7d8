import assert from 'node:assert/strict';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {
	callGateway, configuration, endpointOf, HOST, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {Endpoint} from '@pomelopick/core.types';
import {readPeakMemoryKb} from './fixture.js';
import {endlessResponses, startEndlessServer} from './endless-server.js';
import type {EndlessServer} from './endless-server.js';

/** Memory of the smallest machine on which users run a gateway, in kilobytes. */
const MAX_MEMORY_KB = 250 * 1024;
const CALLERS = 8;
const DISCONNECT_AFTER_MS = 300;
const SLOW_PIECE_BYTES = 4096;
const SLOW_PIECE_INTERVAL_MS = 10;

/** How callers read a response; `play` is what the server does in addition. */
const callers: ReadonlyArray<{name: string; play: 'endless' | 'reset' | 'drop'; read: (socket: Socket) => void}> = [
	{
		name: 'its callers read until the gateway closes their connections', play: 'endless', read(socket) {
			socket.resume();
		},
	},
	{
		name: 'its callers disconnect', play: 'endless', read(socket) {
			socket.resume();
			setTimeout(() => {
				socket.destroy();
			}, DISCONNECT_AFTER_MS);
		},
	},
	{
		name: 'its callers read slowly and disconnect', play: 'endless', read(socket) {
			const timer = setInterval(() => {
				socket.read(SLOW_PIECE_BYTES);
			}, SLOW_PIECE_INTERVAL_MS);
			setTimeout(() => {
				clearInterval(timer);
				socket.destroy();
			}, DISCONNECT_AFTER_MS);
		},
	},
	{
		name: 'it resets connections while its callers do not read', play: 'reset', read(socket) {
			setTimeout(() => {
				socket.resume();
			}, DISCONNECT_AFTER_MS * 2);
		},
	},
	{
		name: 'it does so in response to a health check after a reset', play: 'drop', read(socket) {
			socket.resume();
		},
	},
];

interface Case {
	readonly name: string;
	readonly kind: string;
	readonly play: string;
	readonly read: (socket: Socket) => void;
}

const cases: readonly Case[] = Object.keys(endlessResponses).flatMap(kind => callers.map(({name, ...caller}) => ({...caller, kind, name: `${kind}, while ${name}`})));

/** Sends one request; resolves when its connection has ended. */
async function send({endpoint, path, requestId, read}: {readonly endpoint: Endpoint; readonly path: string; readonly requestId: string; readonly read: (socket: Socket) => void}): Promise<void> {
	const socket = connect({host: endpoint.address, port: endpoint.port});
	socket.on('error', () => {/* The gateway closes the connection. */});
	const closed = new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	socket.write(`GET ${path} HTTP/1.1\r\nhost: ${HOST}\r\nx-request-id: ${requestId}\r\nx-deadline-ms: 3000\r\nconnection: close\r\n\r\n`);
	read(socket);
	await closed;
}

describe('a server that sends endless data', () => {
	let fleet: GatewayFleet;
	let server: EndlessServer;
	let gateway: GatewayProcess;
	let endpoint: Endpoint;
	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		fleet.write('op/config', configuration({version: 2, timeoutSeconds: 1}));
		server = await startEndlessServer({resetAfterMs: DISCONNECT_AFTER_MS});
		fleet.register({server: {name: 'endless', port: server.port}, failureDomain: 'north-a'});
		const settings = await fleet.settings();
		endpoint = endpointOf(settings.listen.callers);
		gateway = await startGatewayProcess({settings});
		await until(async () => await isReady(settings) && gateway.lines.some(({event}) => event === 'server-changed'));
	});
	after(async () => {
		await gateway.stop();
		server.stop();
		await fleet.stop();
	});

	const playResponse = async ({kind, play, read}: Pick<Case, 'kind' | 'play' | 'read'>): Promise<void> => {
		const path = `/read/${play}/${encodeURIComponent(kind)}`;
		await Promise.all(Array.from({length: CALLERS}, async (_, number) => send({
			endpoint, path: `${path}/${number}`, requestId: `${play}-${number}`, read,
		})));
		await until(() => gateway.hasExited() || server.openCount() === 0);
		assert.deepEqual([gateway.errors, gateway.hasExited()], [[], false]);
		const peakKb = await readPeakMemoryKb(gateway);
		assert.ok(peakKb < MAX_MEMORY_KB, `${peakKb} kB`);
		await until(async () => {
			const {status} = await callGateway({endpoint, path: '/read/sound'});
			return status === 200;
		});
	};

	it('is given up before the deadline if it sends nothing but interim responses', async () => {
		const {status} = await callGateway({endpoint, path: '/read/endless/interim responses'.replace(' ', '%20')});
		assert.equal(status, 502);
	});

	for (const {name, ...played} of cases) {
		it(`neither crashes a gateway nor exhausts its memory with ${name}`, async () => playResponse(played));
	}
});
