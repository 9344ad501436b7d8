/** Stand-ins for backend servers (PROTOCOL.md, "Servers" and "Service discovery"). */
import {createServer} from 'node:http';
import {buffer} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {closeServer, listen} from './sockets.js';

/** Time between two heartbeats (`heartbeat-s`), in milliseconds. */
const HEARTBEAT_MS = 1500;
/** Mean time between two tries while the store is away, in milliseconds. */
const RETRY_MS = 150;

/** The body of a request; undefined when its sender left before the end. */
async function readBody(request) {
	try {
		return await buffer(request);
	} catch {
		return undefined;
	}
}

/** A server that registers itself in the store, runs requests and records them. */
export class Server {
	/** Whether it is about to end. */
	isLeaving = false;
	/** Headers of all answers to requests, for a server that says more of itself. */
	announced = {};
	#sequence = 0;
	#emitBeat = () => {};
	#runs = 0;
	#server = createServer(async (request, response) => {
		await this.#serve(request, response);
	});

	constructor({
		id, service, zone, store, record, slots = 3, workMs = 5,
	}) {
		Object.assign(this, {
			id, service, zone, store, record, slots, workMs, born: Date.now(),
		});
	}

	async start() {
		this.port = await listen(this.#server, '127.0.0.1');
		this.beat();
		// The heartbeats of many servers are spread over the interval.
		await sleep(Math.random() * HEARTBEAT_MS);
		this.timer = setInterval(() => {
			this.beat();
		}, HEARTBEAT_MS);
	}

	/** Ends the heartbeats; the server goes on serving. */
	endHeartbeats() {
		clearInterval(this.timer);
		clearTimeout(this.retry);
	}

	async stop() {
		this.endHeartbeats();
		await closeServer(this.#server);
	}

	/** Writes the entry; while the store does not take it, tries again after a short time. */
	beat() {
		const entry = this.nextEntry();
		try {
			this.store.put(`servers/${this.id}`, entry);
			this.#emitBeat();
		} catch {
			clearTimeout(this.retry);
			this.retry = setTimeout(() => {
				this.beat();
			}, RETRY_MS * (0.5 + Math.random()));
		}
	}

	/** Resolves after the next heartbeat. */
	async nextBeat() {
		await new Promise(resolve => {
			this.#emitBeat = resolve;
		});
	}

	/** The entry of the next heartbeat. */
	nextEntry() {
		this.#sequence += 1;
		return this.describe();
	}

	/** The entry in the store. */
	describe() {
		return {
			service: this.service, address: `127.0.0.1:${this.port}`, zone: this.zone, version: 'v1', slots: this.slots,
			state: 'ready', 'warmup-left-s': 0, sequence: this.#sequence, born: this.born,
		};
	}

	async #serve(request, response) {
		response.setHeader('x-instance-id', this.id);
		if (request.url === '/health') {
			response.writeHead(this.isLeaving ? 503 : 200, this.announced).end();
			return;
		}

		const body = await readBody(request);
		const id = request.headers['x-request-id'];
		if (body === undefined || id === undefined) {
			response.writeHead(400, {'x-not-executed': '1'}).end();
			return;
		}

		response.setHeader('x-request-id', id);
		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, this.announced).end();
			return;
		}

		await this.#run({
			id, request, response, body,
		});
	}

	async #run({
		id, request, response, body,
	}) {
		this.#runs += 1;
		this.record.line('run', {
			request: id, server: this.id, service: this.service, method: request.method, path: request.url, bytes: body.length,
		});
		this.onRun?.({id, body, path: request.url});
		await sleep(this.workMs);
		const headers = {...this.announced, 'x-server-stamp': `${this.id}.${this.#runs}`};
		await this.answer({id, response, headers});
	}

	/** Sends the answer; a case may replace it. */
	async answer({id, response, headers}) {
		response.writeHead(200, headers);
		response.end(`${this.service} ${id}`);
	}
}
