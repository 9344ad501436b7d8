// A client of the platform on one plain connection, so that a case decides when bytes are sent and when the connection is closed.
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {HOST} from './deployment.js';
import {nowMs, record} from './record.js';

const HEAD_END = '\r\n\r\n';

/** A connection to a gateway. */
export class ClientConnection {
	/** Answers in the order in which they arrived: `{status, headers, body, atMs}`. */
	answers = [];
	/** Monotonic time at which the connection ended, in milliseconds; undefined while it is open. */
	endedAtMs = undefined;
	#socket;
	#received = Buffer.alloc(0);

	/**
	 * With `reads` false, the client reads nothing; the system then resets its connection if it is closed with bytes unread.
	 * With `bytesPerMs`, it reads its answers no faster than that, as over a link of this speed, and forgets them.
	 */
	constructor({name, gateway, reads = true, bytesPerMs}) {
		this.name = name;
		this.#socket = connect({host: gateway.address, port: gateway.port, noDelay: true});
		if (bytesPerMs !== undefined) {
			this.#socket.on('data', chunk => {
				this.#socket.pause();
				setTimeout(() => {
					this.#socket.resume();
				}, chunk.length / bytesPerMs);
			});
		} else if (reads) {
			this.#socket.on('data', chunk => {
				this.#received = Buffer.concat([this.#received, chunk]);
				this.#parse();
			});
		} else {
			// Before the connection is made, so that nothing is taken from the system.
			this.#socket.pause();
		}

		this.#socket.on('error', error => {
			record('connection-error', {client: name, detail: error.code});
		});
		this.#socket.once('close', () => {
			this.endedAtMs = nowMs();
			record('connection-ended', {client: name});
		});
	}

	/** Sends bytes as they are. */
	sendBytes(bytes) {
		this.#socket.write(bytes);
	}

	/** Sends the head of a request, and its body if it has one. */
	send({id, method = 'GET', path = '/read/x', object = 'x', deadlineMs = 4000, body = '', headers = []}) {
		const lines = [
			`${method} ${path} HTTP/1.1`,
			`Host: ${HOST}`,
			`X-Request-Id: ${id}`,
			`X-Affinity-Key: ${object}`,
			`X-Deadline-Ms: ${deadlineMs}`,
			...headers,
			...(method === 'GET' || headers.some(header => /^content-length/iu.test(header)) ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
		];
		record('sent', {
			client: this.name, id, method, path,
		});
		this.#socket.write(`${lines.join('\r\n')}${HEAD_END}${body}`);
	}

	/** Closes the connection without waiting for an answer. */
	giveUp() {
		record('gave-up', {client: this.name});
		this.#socket.destroy();
	}

	/** Parses whole answers that have a content length. */
	#parse() {
		for (;;) {
			const end = this.#received.indexOf(HEAD_END);
			if (end === -1) {
				return;
			}

			const [first, ...lines] = this.#received.subarray(0, end).toString('latin1').split('\r\n');
			const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
			const status = Number(first.split(' ')[1]);
			const length = Number(headers['content-length'] ?? 0);
			const start = end + HEAD_END.length;
			if (status >= 200 && this.#received.length < start + length) {
				return;
			}

			const body = status < 200 ? '' : this.#received.subarray(start, start + length).toString('utf8');
			this.#received = this.#received.subarray(status < 200 ? start : start + length);
			if (status >= 200) {
				record('answered', {
					client: this.name, id: headers['x-request-id'], status, connection: headers.connection ?? '-',
				});
				this.answers.push({
					status, headers, body, atMs: nowMs(),
				});
			}
		}
	}
}
