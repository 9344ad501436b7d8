/** Stand-in for the platform: the part of Consul's HTTP API that the system uses, with switches for faults. */
import {Buffer} from 'node:buffer';
import {
	createServer,
} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {buffer, json} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Endpoint, Instance, InstanceId} from '@pomelopick/core.types';
import {
	RateLimiter,
} from './faults.js';
import type {
	PlatformCounters, PlatformFaults, PlatformWrite, RateLimits, WriteHooks,
} from './faults.js';
import {LaggingInstances, toHealthEntry} from './instances.js';
import {KeyValues, MOST_VALUE_BYTES} from './key-values.js';
import type {StoredEntry} from './key-values.js';

const DEFAULT_LIMITS: RateLimits = {readsPerSecond: 2000, writesPerSecond: 300};
const LONGEST_WAIT_MS = 600_000;

/** Options of {@link startPlatformStandIn}. */
export interface StartPlatformStandInOptions {
	readonly port?: number;
	readonly limits?: RateLimits;
}

/** A running stand-in. */
export interface PlatformStandIn {
	readonly endpoint: Endpoint;
	readonly faults: PlatformFaults;
	readonly writeHooks: WriteHooks;
	readonly counters: PlatformCounters;
	readonly keyValues: KeyValues;
	readonly instances: LaggingInstances;
	stop(): Promise<void>;
}

/** One operation of `PUT /v1/txn`. */
interface TransactionOperation {
	readonly KV: {readonly Verb: 'cas'; readonly Key: string; readonly Value: string; readonly Index: number};
}

interface Answer {
	readonly status: number;
	readonly body: unknown;
	readonly index?: number;
	readonly isWrite?: boolean;
}

/** Starts the stand-in on loopback. */
export async function startPlatformStandIn({port = 0, limits = DEFAULT_LIMITS}: StartPlatformStandInOptions = {}): Promise<PlatformStandIn> {
	const now = (): number => performance.now();
	const platform = new Platform({now, limits});
	const server = createServer((request, response) => {
		void platform.serve({request, response});
	});
	await new Promise<void>(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	return {
		endpoint: {address: '127.0.0.1', port: (server.address() as AddressInfo).port},
		faults: platform.faults,
		writeHooks: platform.writeHooks,
		counters: platform.counters,
		keyValues: platform.keyValues,
		instances: platform.instances,
		stop: async () => stopServer(server),
	};
}

class Platform {
	readonly faults: PlatformFaults = {
		outage: false, slownessMs: 0, loseNextWriteAnswers: 0, silent: false, instanceListLagMs: 0,
	};

	readonly writeHooks: WriteHooks = {};

	readonly counters: PlatformCounters = {
		reads: 0, writes: 0, watches: 0, rateLimited: 0, bytes: 0,
	};

	readonly keyValues: KeyValues;
	readonly instances: LaggingInstances;
	readonly #limiter: RateLimiter;

	constructor({now, limits}: {readonly now: () => number; readonly limits: RateLimits}) {
		this.keyValues = new KeyValues({now});
		this.instances = new LaggingInstances({now});
		this.#limiter = new RateLimiter({limits, now});
	}

	async serve({request, response}: {readonly request: IncomingMessage; readonly response: ServerResponse}): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://platform');
		if (url.pathname.startsWith('/stand-in/')) {
			await this.#control({request, response, url});
			return;
		}

		if (this.faults.outage) {
			request.socket.destroy();
			return;
		}

		const body = await buffer(request);
		this.counters.bytes += body.length;
		if (this.faults.slownessMs > 0) {
			await sleep(this.faults.slownessMs);
		}

		const isRead = request.method === 'GET';
		this.counters[isRead ? 'reads' : 'writes'] += 1;
		if (!this.#limiter.tryCount(isRead ? 'read' : 'write')) {
			this.counters.rateLimited += 1;
			send({response, answer: {status: 429, body: 'rate limit exceeded'}});
			return;
		}

		const write = describeWrite({request, url, body});
		if (write) {
			await this.writeHooks.before?.(write);
		}

		const answer = await this.#answer({request, url, body});
		if (write) {
			await this.writeHooks.after?.(write);
		}

		if (this.faults.outage || this.faults.silent) {
			if (this.faults.outage) {
				request.socket.destroy();
			}

			return;
		}

		if (answer.isWrite && this.faults.loseNextWriteAnswers > 0) {
			this.faults.loseNextWriteAnswers -= 1;
			request.socket.destroy();
			return;
		}

		this.counters.bytes += send({response, answer});
	}

	async #answer({request, url, body}: {readonly request: IncomingMessage; readonly url: URL; readonly body: Uint8Array}): Promise<Answer> {
		const {method} = request;
		if (url.pathname.startsWith('/v1/kv/')) {
			const key = decodeURIComponent(url.pathname.slice('/v1/kv/'.length));
			return method === 'GET'
				? this.#read({request, url, key})
				: this.#write({
					method, url, key, body,
				});
		}

		if (url.pathname === '/v1/txn') {
			return this.#transact(body);
		}

		if (url.pathname.startsWith('/v1/session/')) {
			return this.#session({url, body});
		}

		if (url.pathname.startsWith('/v1/health/service/')) {
			const instances = this.instances.list({lagMs: this.faults.instanceListLagMs});
			return {status: 200, body: instances.map(instance => toHealthEntry(instance))};
		}

		return {status: 404, body: 'nothing here'};
	}

	async #read({request, url, key}: {readonly request: IncomingMessage; readonly url: URL; readonly key: string}): Promise<Answer> {
		const recurse = url.searchParams.has('recurse');
		const seenIndex = Number(url.searchParams.get('index') ?? 0);
		if (seenIndex > 0 && this.keyValues.indexBelow(key) <= seenIndex) {
			const closed = new AbortController();
			const abort = (): void => {
				closed.abort();
			};

			request.socket.once('close', abort);
			this.counters.watches += 1;
			await this.keyValues.waitForChange({prefix: key, waitMs: parseDurationMs(url.searchParams.get('wait')), signal: closed.signal});
			request.socket.off('close', abort);
		}

		const entries = this.keyValues.read({key, recurse});
		const index = this.keyValues.indexBelow(key);
		return entries.length === 0 ? {status: 404, body: '', index} : {status: 200, body: entries.map(entry => toKeyValueEntry(entry)), index};
	}

	#write({method, url, key, body}: {readonly method: string | undefined; readonly url: URL; readonly key: string; readonly body: Uint8Array}): Answer {
		const cas = url.searchParams.get('cas');
		const expectedIndex = cas === null ? undefined : Number(cas);
		if (method === 'DELETE') {
			return {status: 200, body: this.keyValues.delete({key, expectedIndex}), isWrite: true};
		}

		if (body.length > MOST_VALUE_BYTES) {
			return {status: 413, body: `value is ${body.length} bytes, at most ${MOST_VALUE_BYTES} are taken`};
		}

		const session = url.searchParams.get('acquire') ?? undefined;
		return {
			status: 200, body: this.keyValues.put({
				key, value: body, expectedIndex, session,
			}), isWrite: true,
		};
	}

	/** A transaction of one compare-and-swap, the only one that the system sends. */
	#transact(body: Uint8Array): Answer {
		const [operation] = JSON.parse(new TextDecoder().decode(body)) as [TransactionOperation];
		const {Key: key, Value, Index: expectedIndex} = operation.KV;
		const value = Buffer.from(Value, 'base64');
		if (value.length > MOST_VALUE_BYTES) {
			return {status: 413, body: `value is ${value.length} bytes, at most ${MOST_VALUE_BYTES} are taken`};
		}

		return this.keyValues.put({key, value, expectedIndex})
			? {status: 200, body: {Results: [{KV: {Key: key, ModifyIndex: this.keyValues.index}}], Errors: undefined}, isWrite: true}
			: {status: 409, body: {Results: undefined, Errors: [{OpIndex: 0, What: 'index is stale'}]}, isWrite: true};
	}

	#session({url, body}: {readonly url: URL; readonly body: Uint8Array}): Answer {
		const [action, id = ''] = url.pathname.slice('/v1/session/'.length).split('/');
		switch (action) {
			case 'create': {
				const {TTL} = JSON.parse(new TextDecoder().decode(body)) as {TTL: string};
				return {status: 200, body: {ID: this.keyValues.createSession({timeToLiveMs: parseDurationMs(TTL)})}, isWrite: true};
			}

			case 'renew': {
				return this.keyValues.renewSession(id) ? {status: 200, body: [{ID: id}], isWrite: true} : {status: 404, body: 'no such session', isWrite: true};
			}

			case 'destroy': {
				this.keyValues.destroySession(id);
				return {status: 200, body: true, isWrite: true};
			}

			default: {
				return {status: 404, body: 'nothing here'};
			}
		}
	}

	async #control({request, response, url}: {readonly request: IncomingMessage; readonly response: ServerResponse; readonly url: URL}): Promise<void> {
		const input = request.method === 'POST' ? await json(request) : undefined;
		switch (url.pathname) {
			case '/stand-in/faults': {
				Object.assign(this.faults, input);
				send({response, answer: {status: 200, body: this.faults}});
				return;
			}

			case '/stand-in/register': {
				this.instances.register(input as Instance);
				send({response, answer: {status: 200, body: true}});
				return;
			}

			case '/stand-in/deregister': {
				this.instances.deregister((input as {id: InstanceId}).id);
				send({response, answer: {status: 200, body: true}});
				return;
			}

			default: {
				send({response, answer: {status: 200, body: {...this.counters, waiting: this.keyValues.watchCount}}});
			}
		}
	}
}

/** Undefined for reads and calls about sessions. */
function describeWrite({request, url, body}: {readonly request: IncomingMessage; readonly url: URL; readonly body: Uint8Array}): PlatformWrite | undefined {
	if (url.pathname === '/v1/txn') {
		const [operation] = JSON.parse(new TextDecoder().decode(body)) as [TransactionOperation];
		return {method: 'PUT', key: operation.KV.Key};
	}

	const isWrite = url.pathname.startsWith('/v1/kv/') && request.method !== 'GET';
	return isWrite ? {method: request.method === 'DELETE' ? 'DELETE' : 'PUT', key: decodeURIComponent(url.pathname.slice('/v1/kv/'.length))} : undefined;
}

function send({response, answer}: {readonly response: ServerResponse; readonly answer: Answer}): number {
	const text = typeof answer.body === 'string' ? answer.body : JSON.stringify(answer.body);
	response.writeHead(answer.status, {'content-type': 'application/json', ...(answer.index !== undefined && {'x-consul-index': String(answer.index)})});
	response.end(text);
	return text.length;
}

function toKeyValueEntry(entry: StoredEntry): unknown {
	return {
		Key: entry.key, Value: Buffer.from(entry.value).toString('base64'), CreateIndex: entry.createIndex, ModifyIndex: entry.modifyIndex, LockIndex: 0, Flags: 0, Session: entry.session,
	};
}

function parseDurationMs(text: string | null): number { // eslint-disable-line @typescript-eslint/no-restricted-types
	const match = /^(\d+)(ms|s|m)$/u.exec(text ?? '');
	const unitMs = {ms: 1, s: 1000, m: 60_000}[match?.[2] ?? 'ms'] ?? 1;
	return match ? Math.min(LONGEST_WAIT_MS, Number(match[1]) * unitMs) : LONGEST_WAIT_MS;
}

async function stopServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
