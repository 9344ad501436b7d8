/**
 * Loaded into a gateway process by an engine flag: partitions the process from backend servers.
 *
 * A file beside the settings names the ports of the servers and how connections behave: open ones are reset, go silent or
 * live on, and new ones are refused or hang. What silent connections hold is delivered when the partition ends.
 */
import {readFileSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import type {Partition} from './partition.js';

const POLL_MS = 10;
const noPartition: Partition = {ports: [], open: 'works', connecting: 'refused'};

interface TrackedSocket {
	readonly socket: Socket;
	readonly port: number;
	/** Delivers what was held; undefined while the connection is not silent. */
	release?: () => void;
}

const tracked = new Set<TrackedSocket>();
/** Connection attempts that hang, by their sockets. */
const hanging = new Map<Socket, {readonly port: number; readonly connect: () => void}>();
let partition = noPartition;

const connect = Socket.prototype.connect as (this: Socket, ...parameters: unknown[]) => Socket;

Socket.prototype.connect = function (this: Socket, ...parameters: unknown[]): Socket {
	const port = portOf(parameters);
	if (!partition.ports.includes(port)) {
		track({socket: this, port});
		return connect.apply(this, parameters);
	}

	if (partition.connecting === 'refused') {
		setImmediate(() => this.destroy(Object.assign(new Error('connect ECONNREFUSED'), {code: 'ECONNREFUSED'})));
	} else {
		hanging.set(this, {
			port, connect: () => {
				track({socket: this, port});
				connect.apply(this, parameters);
			},
		});
	}

	return this;
};

function portOf(parameters: readonly unknown[]): number {
	const [first] = parameters.flat() as Array<{readonly port?: number | string} | number>;
	return Number(typeof first === 'object' ? first.port : first);
}

function track(entry: TrackedSocket): void {
	tracked.add(entry);
	entry.socket.once('close', () => {
		tracked.delete(entry);
	});
}

/** Makes a connection silent: what is written and received is held. */
function silence(entry: TrackedSocket): void {
	const {socket} = entry;
	const received: unknown[] = [];
	const written: Array<readonly [chunk: unknown, encoding: BufferEncoding]> = [];
	const held = {
		push(chunk: unknown) {
			received.push(chunk);
			return true;
		},
		_write(chunk: unknown, encoding: BufferEncoding, callback: () => void) {
			written.push([chunk, encoding]);
			callback();
		},
		_writev(chunks: ReadonlyArray<{readonly chunk: unknown; readonly encoding: BufferEncoding}>, callback: () => void) {
			written.push(...chunks.map(({chunk, encoding}) => [chunk, encoding] as const));
			callback();
		},
	};
	Object.assign(socket, held);
	entry.release = () => {
		for (const name of Object.keys(held)) {
			Reflect.deleteProperty(socket, name);
		}

		for (const [chunk, encoding] of written) {
			socket.write(chunk as Uint8Array, encoding);
		}

		for (const chunk of received) {
			socket.push(chunk);
		}
	};
}

function apply(): void {
	for (const entry of tracked) {
		const isCut = partition.ports.includes(entry.port);
		if (!isCut && entry.release) {
			entry.release();
			entry.release = undefined;
		} else if (isCut && partition.open === 'reset') {
			entry.socket.destroy(Object.assign(new Error('read ECONNRESET'), {code: 'ECONNRESET'}));
		} else if (isCut && partition.open === 'silent' && !entry.release) {
			silence(entry);
		}
	}

	for (const [socket, {port, connect: connectNow}] of hanging) {
		if (!partition.ports.includes(port)) {
			hanging.delete(socket);
			if (!socket.destroyed) {
				connectNow();
			}
		}
	}
}

let lastText = '';
setInterval(() => {
	try {
		const text = readFileSync(`${process.env.POMELOPICK_SETTINGS!}.partition`, 'utf8');
		if (text !== lastText && text !== '') {
			lastText = text;
			partition = JSON.parse(text) as Partition;
			apply();
		}
	} catch {
		// There is no partition yet, or its file is being written.
	}
}, POLL_MS).unref();
