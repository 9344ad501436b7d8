/** A client that sends requests on one kept connection before earlier ones have been answered. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {HOST} from './configuration.js';

const HEAD_END = '\r\n\r\n';
const LENGTH_PATTERN = /\r\ncontent-length: (?<length>\d+)\r\n/iu;
const STATUS_PATTERN = /^HTTP\/1\.1 (?<status>\d{3}) /u;

/** Opens a connection. */
export async function openConnection({address, port}) {
	const socket = connect({host: address, port});
	await once(socket, 'connect');
	return new PipeliningConnection(socket);
}

class PipeliningConnection {
	/** Requests that wait for their answers, in order. */
	#waiting = [];
	#input = Buffer.alloc(0);
	#socket;

	constructor(socket) {
		this.#socket = socket;
		socket.on('data', piece => {
			this.#input = Buffer.concat([this.#input, piece]);
			this.#read();
		});
		socket.on('error', () => {
			// The end follows.
		});
		socket.on('close', () => {
			for (const {onBegin, resolve} of this.#waiting.splice(0)) {
				onBegin();
				resolve({status: 0});
			}
		});
	}

	get isOpen() {
		return !this.#socket.destroyed;
	}

	/** Sends a read; `begun` resolves with the first byte of its answer, `answered` with its status, which is 0 if the connection ended without a whole answer. */
	send({path, requestId, deadlineMs}) {
		const begun = createDeferred();
		const answered = createDeferred();
		if (this.isOpen) {
			this.#waiting.push({onBegin: begun.resolve, resolve: answered.resolve});
			const lines = [`GET ${path} HTTP/1.1`, `host: ${HOST}`, `x-request-id: ${requestId}`, `x-affinity-key: ${path}`, `x-deadline-ms: ${deadlineMs}`];
			this.#socket.write(`${lines.join('\r\n')}${HEAD_END}`);
		} else {
			begun.resolve();
			answered.resolve({status: undefined});
		}

		return {begun: begun.promise, answered: answered.promise};
	}

	close() {
		this.#socket.destroy();
	}

	#read() {
		while (this.#waiting.length > 0 && this.#input.length > 0) {
			this.#waiting[0].onBegin();
			const headEnd = this.#input.indexOf(HEAD_END);
			const head = this.#input.subarray(0, headEnd + 2).toString('latin1');
			const end = headEnd + HEAD_END.length + Number(LENGTH_PATTERN.exec(head)?.groups.length ?? 0);
			if (headEnd === -1 || this.#input.length < end) {
				return;
			}

			this.#input = this.#input.subarray(end);
			this.#waiting.shift().resolve({status: Number(STATUS_PATTERN.exec(head).groups.status)});
		}
	}
}

function createDeferred() {
	const deferred = {};
	deferred.promise = new Promise(resolve => {
		deferred.resolve = resolve;
	});
	return deferred;
}
