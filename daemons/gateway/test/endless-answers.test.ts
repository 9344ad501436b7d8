import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
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
import {endlessAnswers, startEndlessServer} from './endless-server.js';
import type {EndlessServer} from './endless-server.js';

/** Memory of the smallest machine on the users' sheets, in kilobytes. */
const MOST_MEMORY_KB = 250 * 1024;
const CALLERS = 8;
const LEAVES_AFTER_MS = 300;
const SLOW_PIECE_BYTES = 4096;
const SLOW_PIECE_INTERVAL_MS = 10;

/** How callers take an answer; `play` is what the server does besides. */
const callers: ReadonlyArray<{name: string; play: 'endless' | 'reset' | 'drop'; take: (socket: Socket) => void}> = [
	{
		name: 'its callers read until they are cut', play: 'endless', take(socket) {
			socket.resume();
		},
	},
	{
		name: 'its callers leave', play: 'endless', take(socket) {
			socket.resume();
			setTimeout(() => {
				socket.destroy();
			}, LEAVES_AFTER_MS);
		},
	},
	{
		name: 'its callers read slowly and leave', play: 'endless', take(socket) {
			const timer = setInterval(() => {
				socket.read(SLOW_PIECE_BYTES);
			}, SLOW_PIECE_INTERVAL_MS);
			setTimeout(() => {
				clearInterval(timer);
				socket.destroy();
			}, LEAVES_AFTER_MS);
		},
	},
	{
		name: 'it resets connections while its callers do not read', play: 'reset', take(socket) {
			setTimeout(() => {
				socket.resume();
			}, LEAVES_AFTER_MS * 2);
		},
	},
	{
		name: 'it does so when it is asked whether it has gone', play: 'drop', take(socket) {
			socket.resume();
		},
	},
];

interface Case {
	readonly name: string;
	readonly answer: string;
	readonly play: string;
	readonly take: (socket: Socket) => void;
}

const cases: readonly Case[] = Object.keys(endlessAnswers).flatMap(answer => callers.map(({name, ...caller}) => ({...caller, answer, name: `${answer}, while ${name}`})));

/** Sends one request; resolves when its connection has ended. */
async function send({endpoint, path, requestId, take}: {readonly endpoint: Endpoint; readonly path: string; readonly requestId: string; readonly take: (socket: Socket) => void}): Promise<void> {
	const socket = connect({host: endpoint.address, port: endpoint.port});
	socket.on('error', () => {/* The gateway cuts it. */});
	const closed = new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	socket.write(`GET ${path} HTTP/1.1\r\nhost: ${HOST}\r\nx-request-id: ${requestId}\r\nx-deadline-ms: 3000\r\nconnection: close\r\n\r\n`);
	take(socket);
	await closed;
}

async function readPeakMemoryKb({processId}: GatewayProcess): Promise<number> {
	const text = await readFile(`/proc/${processId}/status`, 'utf8');
	return Number(/VmHWM:\s+(\d+) kB/u.exec(text)?.[1]);
}

describe('a server that sends bytes without end', () => {
	let fleet: GatewayFleet;
	let server: EndlessServer;
	let gateway: GatewayProcess;
	let endpoint: Endpoint;
	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		fleet.write('op/config', configuration({version: 2, timeoutSeconds: 1}));
		server = await startEndlessServer({resetAfterMs: LEAVES_AFTER_MS});
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

	const playAnswer = async ({answer, play, take}: Pick<Case, 'answer' | 'play' | 'take'>): Promise<void> => {
		const path = `/read/${play}/${encodeURIComponent(answer)}`;
		await Promise.all(Array.from({length: CALLERS}, async (_, number) => send({
			endpoint, path: `${path}/${number}`, requestId: `${play}-${number}`, take,
		})));
		await until(() => gateway.hasExited() || server.openCount() === 0);
		assert.deepEqual([gateway.errors, gateway.hasExited()], [[], false]);
		const peakKb = await readPeakMemoryKb(gateway);
		assert.ok(peakKb < MOST_MEMORY_KB, `${peakKb} kB`);
		await until(async () => {
			const {status} = await callGateway({endpoint, path: '/read/sound'});
			return status === 200;
		});
	};

	for (const {name, ...played} of cases) {
		it(`neither ends a gateway nor fills its memory with ${name}`, async () => playAnswer(played));
	}
});
