/**
 * Stand-in for the address of a server that has lost its power, or that is late to accept: connecting to it hangs.
 *
 * A thread listens with the shortest queue and is then blocked, so that nothing is accepted; connections fill the queue.
 * Once it accepts, the connections whose first packet was lost are established when that is sent again. It responds itself
 * or forwards connections to a target.
 */
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import type {Endpoint} from '@pomelopick/core.types';

const FILLERS = 8;
/** Time after which a connection that is not established counts as hanging, in milliseconds. */
const HANGING_MS = 300;

const LISTENER_PROGRAM = `
const http = require('node:http');
const net = require('node:net');
const {parentPort, workerData: {hasToAccept, target}} = require('node:worker_threads');
const forward = client => {
	const other = net.connect(target);
	for (const socket of [client, other]) {
		socket.on('error', () => undefined);
		socket.on('close', () => {
			client.destroy();
			other.destroy();
		});
	}

	client.pipe(other).pipe(client);
};

const respond = ({headers}, response) => {
	const requestId = headers['x-request-id'];
	if (requestId !== undefined) {
		parentPort.postMessage({requestId, timeLeftMs: Number(headers['x-deadline-ms']), atMs: Date.now()});
		response.writeHead(200, {'x-request-id': requestId, 'x-server-stamp': requestId});
	}

	response.end();
};

const server = target ? net.createServer(forward) : http.createServer(respond);
server.listen({host: '127.0.0.1', port: 0, backlog: 1}, () => {
	parentPort.postMessage(server.address().port);
	Atomics.wait(hasToAccept, 0, 0);
});
`;

/** A request that the server has received. */
export interface LateArrival {
	readonly requestId: string;
	/** Time until the deadline that the sender stated, in milliseconds. */
	readonly timeLeftMs: number;
	/** Wall-clock time of the arrival, in milliseconds. */
	readonly atMs: number;
}

/** An address to which connecting hangs. */
export interface UnreachableServer {
	readonly name: string;
	readonly port: number;
	/** Requests that have arrived since it accepts connections. */
	readonly arrivals: readonly LateArrival[];
	/** Accepts connections from now on, and responds to all requests with success, or forwards the connections to the target. */
	accept(): void;
	stop(): Promise<void>;
}

/** Starts one. Rejects if connecting to it does not hang. */
export async function startUnreachableServer({name, target}: {readonly name: string; readonly target?: Endpoint}): Promise<UnreachableServer> {
	const hasToAccept = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
	const listener = new Worker(LISTENER_PROGRAM, {eval: true, workerData: {hasToAccept, target: target && {host: target.address, port: target.port}}});
	const [port] = await once(listener, 'message') as [number];
	const arrivals: LateArrival[] = [];
	listener.on('message', (arrival: LateArrival) => {
		arrivals.push(arrival);
	});
	const fillers = Array.from({length: FILLERS}, () => openSocket(port));
	await sleep(HANGING_MS);
	const probe = openSocket(port);
	await sleep(HANGING_MS);
	const isHanging = probe.connecting;
	probe.destroy();
	const endFillers = (): void => {
		for (const filler of fillers) {
			filler.destroy();
		}
	};

	const stop = async (): Promise<void> => {
		endFillers();
		await listener.terminate();
	};

	if (!isHanging) {
		await stop();
		throw new Error('connecting to a listener that does not accept did not hang');
	}

	return {
		name,
		port,
		arrivals,
		accept() {
			endFillers();
			Atomics.store(hasToAccept, 0, 1);
			Atomics.notify(hasToAccept, 0);
		},
		stop,
	};
}

function openSocket(port: number): Socket {
	return connect({host: '127.0.0.1', port}).on('error', () => {/* Expected when the listener ends. */});
}
