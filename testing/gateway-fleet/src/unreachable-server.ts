/**
 * Stand-in for the address of a server that has lost its power: connecting to it hangs.
 *
 * A thread listens with the shortest queue and is then blocked, so that nothing is accepted; connections fill the queue.
 */
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';

const FILLERS = 8;
/** Time after which a connection that is not established counts as hanging, in milliseconds. */
const HANGING_MS = 300;

const LISTENER_PROGRAM = `
const {createServer} = require('node:net');
const {parentPort} = require('node:worker_threads');
const server = createServer();
server.listen({host: '127.0.0.1', port: 0, backlog: 1}, () => {
	parentPort.postMessage(server.address().port);
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
});
`;

/** An address to which connecting hangs. */
export interface UnreachableServer {
	readonly name: string;
	readonly port: number;
	stop(): Promise<void>;
}

/** Starts one. Rejects if connecting to it does not hang. */
export async function startUnreachableServer({name}: {readonly name: string}): Promise<UnreachableServer> {
	const listener = new Worker(LISTENER_PROGRAM, {eval: true});
	const [port] = await once(listener, 'message') as [number];
	const fillers = Array.from({length: FILLERS}, () => openSocket(port));
	await sleep(HANGING_MS);
	const probe = openSocket(port);
	await sleep(HANGING_MS);
	const isHanging = probe.connecting;
	probe.destroy();
	const stop = async (): Promise<void> => {
		for (const filler of fillers) {
			filler.destroy();
		}

		await listener.terminate();
	};

	if (!isHanging) {
		await stop();
		throw new Error('connecting to a listener that does not accept did not hang');
	}

	return {name, port, stop};
}

function openSocket(port: number): Socket {
	return connect({host: '127.0.0.1', port}).on('error', () => {/* Expected when the listener ends. */});
}
