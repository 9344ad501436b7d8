/**
 * Stand-in for the address of a server that has lost its power: connecting to it hangs.
 *
 * A thread listens with the shortest queue and is then blocked, so that nothing is accepted; connections fill the queue.
 * Once it is unblocked, it forwards connections to a target, so that those that waited are established late.
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
const {connect, createServer} = require('node:net');
const {parentPort, workerData: {target, gate}} = require('node:worker_threads');
const server = createServer(client => {
	const other = target ? connect(target) : client;
	for (const socket of [client, other]) {
		socket.on('error', () => undefined);
		socket.on('close', () => {
			client.destroy();
			other.destroy();
		});
	}
	if (target) {
		client.pipe(other).pipe(client);
	}
});
server.listen({host: '127.0.0.1', port: 0, backlog: 1}, () => {
	parentPort.postMessage(server.address().port);
	Atomics.wait(gate, 0, 0);
});
`;

/** An address to which connecting hangs. */
export interface UnreachableServer {
	readonly name: string;
	readonly port: number;
	/** Accepts connections from now on, and forwards them to the target. */
	accept(): void;
	stop(): Promise<void>;
}

/** Starts one. Rejects if connecting to it does not hang. */
export async function startUnreachableServer({name, target}: {readonly name: string; readonly target?: Endpoint}): Promise<UnreachableServer> {
	const gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
	const listener = new Worker(LISTENER_PROGRAM, {eval: true, workerData: {gate, target: target && {host: target.address, port: target.port}}});
	const [port] = await once(listener, 'message') as [number];
	const fillers = Array.from({length: FILLERS}, () => openSocket(port));
	await sleep(HANGING_MS);
	const probe = openSocket(port);
	await sleep(HANGING_MS);
	const isHanging = probe.connecting;
	probe.destroy();
	const accept = (): void => {
		for (const filler of fillers) {
			filler.destroy();
		}

		Atomics.store(gate, 0, 1);
		Atomics.notify(gate, 0);
	};

	const stop = async (): Promise<void> => {
		accept();
		await listener.terminate();
	};

	if (!isHanging) {
		await stop();
		throw new Error('connecting to a listener that does not accept did not hang');
	}

	return {
		name, port, accept, stop,
	};
}

function openSocket(port: number): Socket {
	return connect({host: '127.0.0.1', port}).on('error', () => {/* Expected when the listener ends. */});
}
