/** Stand-in for the platform: HTTP server with the metadata store, a lagging instance list and switchable faults. */
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
import {KeyValues} from './key-values.js';
import {
	handleLeaseCall, parseTransaction, readChanges, readKey, readRange, runTransaction,
} from './store-responses.js';

const DEFAULT_LIMITS: RateLimits = {readsPerSecond: 2000, writesPerSecond: 300};
/** Maximum time that a watch waits for a change. */
const MAX_WATCH_WAIT_MS = 30_000;

/** Options of {@link startPlatformStandIn}. Port 0, the default, picks a free port. */
export interface StartPlatformStandInOptions {
	readonly port?: number;
	readonly limits?: RateLimits;
	/** Era before the first return from a copy; 0 by default. */
	readonly firstEra?: number;
	/** Whether responses state the first era. */
	readonly isFirstEraStated?: boolean;
}

/** A running stand-in, with its faults, counters and state for tests to read and change. */
export interface PlatformStandIn {
	readonly endpoint: Endpoint;
	readonly faults: PlatformFaults;
	readonly writeHooks: WriteHooks;
	readonly counters: PlatformCounters;
	readonly keyValues: KeyValues;
	readonly instances: LaggingInstances;
	stop(): Promise<void>;
}

interface ResponseContent {
	readonly status: number;
	readonly body: unknown;
	readonly isWrite?: boolean;
}

/** Starts the stand-in on the loopback address. */
export async function startPlatformStandIn({port = 0, limits = DEFAULT_LIMITS, firstEra = 0, isFirstEraStated = true}: StartPlatformStandInOptions = {}): Promise<PlatformStandIn> {
	const now = (): number => performance.now();
	const platform = new Platform({
		now, limits, firstEra, isFirstEraStated,
	});
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
	/** Era that responses do not state; undefined: they state all. */
	readonly #unstatedEra: number | undefined;

	constructor({now, limits, firstEra, isFirstEraStated}: {readonly now: () => number} & Required<Omit<StartPlatformStandInOptions, 'port'>>) {
		this.#unstatedEra = isFirstEraStated ? undefined : firstEra;
		this.keyValues = new KeyValues({now, firstEra});
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
			send({response, content: {status: 429, body: 'rate limit exceeded'}});
			return;
		}

		const write = describeWrite({url, body});
		if (write) {
			await this.writeHooks.before?.(write);
		}

		const content = await this.#handleCall({request, url, body});
		if (write) {
			await this.writeHooks.after?.(write);
		}

		if (this.faults.outage || this.faults.silent) {
			if (this.faults.outage) {
				request.socket.destroy();
			}

			return;
		}

		if (content.isWrite && this.faults.loseNextWriteAnswers > 0) {
			this.faults.loseNextWriteAnswers -= 1;
			request.socket.destroy();
			return;
		}

		if (this.keyValues.era !== this.#unstatedEra) {
			response.setHeader('store-era', String(this.keyValues.era));
		}

		this.counters.bytes += send({response, content});
	}

	async #handleCall({request, url, body}: {readonly request: IncomingMessage; readonly url: URL; readonly body: Uint8Array}): Promise<ResponseContent> {
		const {searchParams, pathname} = url;
		switch (pathname) {
			case '/pomelopick/kv-key': {
				return readKey({keyValues: this.keyValues, key: searchParams.get('key') ?? ''});
			}

			case '/pomelopick/kv-range': {
				return readRange({keyValues: this.keyValues, prefix: searchParams.get('prefix') ?? '', after: searchParams.get('after') ?? ''});
			}

			case '/pomelopick/kv-watch': {
				return this.#watch({request, url});
			}

			case '/pomelopick/kv-txn': {
				return {...runTransaction({keyValues: this.keyValues, transaction: parseTransaction(body)}), isWrite: true};
			}

			case '/v1/health/service/pomelopick-entry': {
				const instances = this.instances.list({lagMs: this.faults.instanceListLagMs});
				return {status: 200, body: instances.map(instance => toHealthEntry(instance))};
			}

			default: {
				return handleLeaseCall({keyValues: this.keyValues, pathname, body});
			}
		}
	}

	async #watch({request, url}: {readonly request: IncomingMessage; readonly url: URL}): Promise<ResponseContent> {
		const prefix = url.searchParams.get('prefix') ?? '';
		const index = Number(url.searchParams.get('after') ?? 0);
		if (this.keyValues.changesAfter({prefix, index})?.length === 0) {
			const closed = new AbortController();
			const abort = (): void => {
				closed.abort();
			};

			request.socket.once('close', abort);
			this.counters.watches += 1;
			await this.keyValues.waitForChange({prefix, waitMs: Math.min(MAX_WATCH_WAIT_MS, Number(url.searchParams.get('wait-ms'))), signal: closed.signal});
			request.socket.off('close', abort);
		}

		return readChanges({keyValues: this.keyValues, prefix, index});
	}

	async #control({request, response, url}: {readonly request: IncomingMessage; readonly response: ServerResponse; readonly url: URL}): Promise<void> {
		const input = request.method === 'POST' ? await json(request) : undefined;
		switch (url.pathname) {
			case '/stand-in/faults': {
				Object.assign(this.faults, input);
				send({response, content: {status: 200, body: this.faults}});
				return;
			}

			case '/stand-in/register': {
				this.instances.register(input as Instance);
				send({response, content: {status: 200, body: true}});
				return;
			}

			case '/stand-in/deregister': {
				this.instances.deregister((input as {id: InstanceId}).id);
				send({response, content: {status: 200, body: true}});
				return;
			}

			default: {
				send({response, content: {status: 200, body: {...this.counters, waiting: this.keyValues.watchCount}}});
			}
		}
	}
}

/** Returns the first key that a call writes or deletes, or undefined if the call is not a transaction. */
function describeWrite({url, body}: {readonly url: URL; readonly body: Uint8Array}): PlatformWrite | undefined {
	if (url.pathname !== '/pomelopick/kv-txn') {
		return undefined;
	}

	const {puts, remove} = parseTransaction(body);
	const [put] = puts;
	return put ? {method: 'PUT', key: put.key} : {method: 'DELETE', key: remove[0] ?? ''};
}

function send({response, content}: {readonly response: ServerResponse; readonly content: ResponseContent}): number {
	const text = typeof content.body === 'string' ? content.body : JSON.stringify(content.body);
	response.writeHead(content.status, {'content-type': 'application/json'});
	response.end(text);
	return text.length;
}

async function stopServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
