/** Stand-ins for backend servers that register themselves in the store. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {buffer as readBuffer} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';

const HEARTBEAT_MS = 1500;
/** Time of silence after which the platform removes an entry, in milliseconds. */
const SILENCE_MS = 3 * HEARTBEAT_MS;
/** Number of pieces of a long answer, and the time between two of them, in milliseconds. */
const PIECES = 4;
const PIECE_MS = 100;
const MILLISECONDS_PER_SECOND = 1000;

/** Starts a server and registers it. */
export async function startServer(options) {
	const server = new Server(options);
	await server.start();
	return server;
}

class Server {
	/** Requests that this server began to run: request id, path, and time in milliseconds. */
	runs = [];
	#options;
	#http;
	#sockets = new Set();
	#port = 0;
	#born = 0;
	#sequence = 0;
	#running = 0;
	#waiting = [];
	#coldUntilMs = 0;
	#state = 'ready';
	#heartbeats;
	#isStopped = false;
	#onHeartbeat = ignore;

	constructor(options) {
		this.#options = {
			slots: 3, queue: 9, healthPath: '/health', workMs: 100, warmupMs: 3000, backAfterMs: 2000, answerBytes: 0, crashes: () => false, breaksOff: () => false, ...options,
		};
	}

	get id() {
		return this.#options.id;
	}

	get zone() {
		return this.#options.zone;
	}

	get isUp() {
		return this.#http?.listening === true;
	}

	/** Starts, or starts again under the same id and address. */
	async start({isCold = false} = {}) {
		const {record, id, service} = this.#options;
		this.#http = createServer((request, response) => {
			this.#serve({request, response});
		});
		this.#http.keepAliveTimeout = 10_000;
		this.#http.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', ignore);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		this.#http.listen(this.#port, '127.0.0.1');
		await once(this.#http, 'listening');
		this.#port = this.#http.address().port;
		this.#born = Date.now();
		this.#sequence = 0;
		this.#running = 0;
		this.#waiting = [];
		this.#coldUntilMs = isCold ? performance.now() + this.#options.warmupMs : 0;
		record.line(`${id}: serves ${service} at 127.0.0.1:${this.#port}${isCold ? `, cold for ${this.#options.warmupMs} ms` : ''}`);
		this.#beat();
		this.#heartbeats = setInterval(() => {
			this.#beat();
		}, HEARTBEAT_MS);
	}

	/** Ends at once: all connections are reset, or closed in order if `isReset` is false. The entry stays until the platform removes it. */
	crash({why, isReset = true}) {
		const {record, id, store} = this.#options;
		record.line(`${id}: crashed, ${why}; ${this.#running} requests were running`);
		clearInterval(this.#heartbeats);
		this.#http.close();
		for (const socket of this.#sockets) {
			if (isReset) {
				socket.resetAndDestroy();
			} else {
				socket.destroy();
			}
		}

		const born = this.#born;
		setTimeout(() => {
			if (this.#born === born && !this.#isStopped) {
				store.remove(`servers/${id}`);
			}
		}, SILENCE_MS);
	}

	/** Becomes cold without a restart. Its entry says so with the next heartbeat, its health responses at once. */
	turnCold() {
		const {record, id, warmupMs} = this.#options;
		this.#coldUntilMs = performance.now() + warmupMs;
		record.line(`${id}: cold for ${warmupMs} ms`);
	}

	/** Resolves after the next heartbeat. */
	async nextHeartbeat() {
		await new Promise(resolve => {
			this.#onHeartbeat = resolve;
		});
	}

	async stop() {
		this.#isStopped = true;
		clearInterval(this.#heartbeats);
		this.#http.close();
		this.#http.closeAllConnections();
	}

	get #warmupLeftMs() {
		return Math.max(0, this.#coldUntilMs - performance.now());
	}

	/** Writes the entry, unless the store is down. */
	#beat() {
		const {store, id, service, zone, slots} = this.#options;
		if (store.isDown) {
			return;
		}

		this.#sequence += 1;
		store.write(`servers/${id}`, {
			service,
			address: `127.0.0.1:${this.#port}`,
			zone, version: 'v1', slots, state: this.#state, 'warmup-left-s': this.#warmupLeftMs / MILLISECONDS_PER_SECOND, sequence: this.#sequence, born: this.#born,
		});
		this.#onHeartbeat();
	}

	async #serve({request, response}) {
		response.on('error', ignore);
		request.on('error', ignore);
		const {id, slots, queue, healthPath, workMs, answerBytes, crashes, record} = this.#options;
		const http = this.#http;
		const requestId = request.headers['x-request-id'];
		let body;
		try {
			body = await readBuffer(request);
		} catch {
			return;
		}

		const answer = (status, headers, text = '') => {
			if (!response.destroyed && http === this.#http) {
				response.writeHead(status, {'content-length': Buffer.byteLength(text), ...headers}).end(text);
			}
		};

		const isHealthCheck = request.method === 'GET' && request.url === healthPath;
		if (!isHealthCheck && requestId === undefined) {
			record.line(`${id}: ${request.method} ${request.url} without an id: 400, not executed`);
			answer(400, {'x-not-executed': '1'});
			return;
		}

		const identity = isHealthCheck ? {'x-instance-id': id} : {'x-request-id': requestId};
		const expected = request.headers['x-expect-instance'];
		if (!isHealthCheck && expected !== undefined && expected !== id) {
			answer(421, identity);
			return;
		}

		if (this.#running >= slots) {
			if (this.#waiting.length >= queue) {
				answer(503, {...identity, 'x-not-executed': '1'});
				return;
			}

			await new Promise(resolve => {
				this.#waiting.push(resolve);
			});
			if (http !== this.#http || response.destroyed) {
				this.#startNext(http);
				return;
			}
		}

		this.#running += 1;
		if (isHealthCheck) {
			this.#end(http);
			const left = this.#warmupLeftMs;
			answer(200, {...identity, 'x-server-load': this.#load, ...(left > 0 && {'x-warmup-ms': String(Math.ceil(left))})});
			return;
		}

		const run = {
			requestId, path: request.url, method: request.method, atMs: performance.now(), isCold: this.#warmupLeftMs > 0,
		};
		this.runs.push(run);
		record.line(`${id}: runs ${request.method} ${request.url} id ${requestId}`);
		const why = crashes({run, runs: this.runs});
		if (why) {
			this.crash({why});
			this.#comeBack();
			return;
		}

		await sleep(Number(request.headers['x-work-ms'] ?? workMs));
		if (http !== this.#http || !http.listening) {
			return;
		}

		const headers = {...identity, 'x-server-stamp': `${id}.${requestId}`, 'x-server-load': this.#load};
		if (answerBytes > 0) {
			await this.#answerInPieces({response, headers, run});
			this.#end(http);
			return;
		}

		this.#end(http);
		answer(200, headers, JSON.stringify({id, requestId, bytes: body.length}));
	}

	/** Sends a long answer piece by piece, or breaks it off after some pieces. */
	async #answerInPieces({response, headers, run}) {
		const {id, answerBytes, breaksOff, record} = this.#options;
		const piece = Buffer.alloc(answerBytes / PIECES, 'r');
		const isBroken = breaksOff({run, runs: this.runs});
		response.writeHead(200, {'content-length': answerBytes, ...headers});
		for (let sent = 0; sent < PIECES; sent += 1) {
			if (isBroken && sent === PIECES - 1) {
				record.line(`${id}: breaks off its answer to ${run.requestId}`);
				response.destroy();
				return;
			}

			response.write(piece);
			await sleep(PIECE_MS);
		}

		response.end();
	}

	get #load() {
		return `${this.#running},${this.#waiting.length},${this.#options.slots}`;
	}

	#end(http) {
		if (http === this.#http) {
			this.#running -= 1;
			this.#startNext(http);
		}
	}

	#startNext(http) {
		if (http === this.#http && this.#running < this.#options.slots) {
			this.#waiting.shift()?.();
		}
	}

	async #comeBack() {
		await sleep(this.#options.backAfterMs);
		if (!this.#isStopped) {
			await this.start({isCold: true});
		}
	}
}

function ignore() {
	// The other side has gone.
}
