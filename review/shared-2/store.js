/**
 * Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
 *
 * Calls are answered after a few milliseconds. The store may be away: it then answers nothing, or resets connections,
 * and leases pause. It may return from a copy, as the news pages tell: what the system wrote since is gone, revisions
 * are given out again, `Store-Era` rises, and the newest values of the operator and the servers are written again.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {json} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {closeServer, listen} from './sockets.js';

const ANSWER_MS = 4;
const LEASE_CHECK_MS = 50;
const MAX_WAIT_MS = 30_000;
/** Time for which history is kept (`history-s`), in milliseconds. */
const HISTORY_MS = 20_000;
const MILLISECONDS_PER_SECOND = 1000;

const isOfSystem = key => !key.startsWith('op/') && !key.startsWith('servers/');

/** Starts the store on a free port of 127.0.0.1. */
export async function startStore() {
	const store = new Store();
	await store.start();
	return store;
}

/** The body of a call; undefined when there is none, or its sender left. */
async function readJson(request) {
	if (request.method !== 'POST' || request.headers['content-length'] === undefined) {
		return undefined;
	}

	try {
		return await json(request);
	} catch {
		return undefined;
	}
}

class Store {
	/** `up`, `silent` (calls get no answer) or `reset` (connections are reset). */
	mode = 'up';
	era = 1;
	revision = 10;
	#items = new Map();
	#events = [];
	#oldestRevision = 10;
	#leases = new Map();
	#lastLease = 0;
	#waiting = new Set();
	#sockets = new Set();
	#server = createServer(async (request, response) => {
		await this.#serve(request, response);
	});

	async start() {
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {}).once('close', () => this.#sockets.delete(socket));
			if (this.mode === 'reset') {
				socket.resetAndDestroy();
			}
		});
		this.port = await listen(this.#server, '127.0.0.1');
		this.leaseTimer = setInterval(() => {
			this.#endLeases();
		}, LEASE_CHECK_MS);
	}

	async stop() {
		clearInterval(this.leaseTimer);
		await closeServer(this.#server);
	}

	/** Takes the store away; calls that wait get no answer. */
	goAway(mode) {
		this.mode = mode;
		this.awaySinceMs = performance.now();
		this.#waiting.clear();
		if (mode === 'reset') {
			for (const socket of this.#sockets) {
				socket.resetAndDestroy();
			}
		}
	}

	/** Brings the store back, with its state as it was or from a copy. */
	comeBack(copy) {
		const awayMs = performance.now() - this.awaySinceMs;
		for (const lease of this.#leases.values()) {
			lease.endsAtMs += awayMs;
		}

		if (copy) {
			this.#returnTo(copy);
		}

		this.mode = 'up';
	}

	/** Copies the items, the leases and the history. */
	copy() {
		return {
			revision: this.revision, items: new Map(this.#items), events: [...this.#events], leases: new Map([...this.#leases].map(([id, lease]) => [id, {...lease}])), copiedAtMs: performance.now(),
		};
	}

	/** Writes a key as the operator or a server does. Throws while the store is away. */
	put(key, value) {
		if (this.mode !== 'up') {
			throw new Error('the store is away');
		}

		this.#write({key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0});
		return this.revision;
	}

	/** Removes a key as the operator or a server does. Throws while the store is away. */
	remove(key) {
		if (this.mode !== 'up') {
			throw new Error('the store is away');
		}

		this.#remove(key);
		return this.revision;
	}

	/** Keys with a prefix. */
	keys(prefix) {
		return [...this.#items.keys()].filter(key => key.startsWith(prefix));
	}

	#returnTo({revision, items, events, leases, copiedAtMs}) {
		const lost = this.#items;
		this.era += 1;
		this.revision = revision;
		this.#items = items;
		this.#events = events;
		this.#leases = leases;
		const sinceMs = performance.now() - copiedAtMs;
		for (const lease of leases.values()) {
			lease.endsAtMs += sinceMs;
		}

		const keys = new Set([...lost.keys(), ...items.keys()].filter(key => !isOfSystem(key)));
		for (const key of keys) {
			this.#writeAgain(key, lost.get(key));
		}
	}

	#writeAgain(key, lost) {
		if (!lost) {
			this.#remove(key);
		} else if (lost.revision !== this.#items.get(key)?.revision) {
			this.#write({key, value: lost.value, lease: 0});
		}
	}

	#write({key, value, lease}) {
		this.revision += 1;
		const created = this.#items.get(key)?.['create-rev'] ?? this.revision;
		const item = {
			key, value, revision: this.revision, 'create-rev': created, lease,
		};
		this.#items.set(key, item);
		this.#record(item);
	}

	#remove(key) {
		if (this.#items.delete(key)) {
			this.revision += 1;
			this.#record({key, revision: this.revision, removed: true});
		}
	}

	#record(event) {
		this.#events.push({event, atMs: performance.now()});
		while (performance.now() - this.#events[0].atMs > HISTORY_MS) {
			this.#oldestRevision = this.#events.shift().event.revision;
		}

		for (const wake of this.#waiting) {
			wake();
		}
	}

	#endLeases() {
		if (this.mode !== 'up') {
			return;
		}

		for (const [id, {endsAtMs}] of this.#leases) {
			if (performance.now() >= endsAtMs) {
				this.#endLease(id);
			}
		}
	}

	#endLease(id) {
		this.#leases.delete(id);
		for (const {key, lease} of this.#items.values()) {
			if (lease === id) {
				this.#remove(key);
			}
		}
	}

	async #serve(request, response) {
		const body = await readJson(request);
		await sleep(ANSWER_MS);
		const {era, mode} = this;
		if (mode !== 'up') {
			return;
		}

		const url = new URL(request.url, 'http://store');
		const answer = url.pathname === '/pomelopick/kv-watch' ? await this.#watch(url.searchParams, request.socket) : this.#answer({method: request.method, url, body});
		if (!answer || this.mode !== 'up' || era !== this.era) {
			// The store went away meanwhile: the answer is lost, and its connection returns nothing further.
			return;
		}

		response.writeHead(answer.status, {'content-type': 'application/json', 'store-era': String(this.era)});
		response.end(JSON.stringify(answer.body ?? {}));
	}

	#answer({method, url: {pathname, searchParams}, body}) {
		const [call, id] = pathname.split('/').slice(2);
		switch (`${method} ${call}`) {
			case 'GET kv-key': {
				const item = this.#items.get(searchParams.get('key'));
				return item ? {status: 200, body: {...item, 'as-of': this.revision}} : {status: 404};
			}

			case 'GET kv-range': {
				const prefix = searchParams.get('prefix') ?? '';
				const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix)).sort((one, other) => one.key < other.key ? -1 : 1);
				return {status: 200, body: {items, 'more-pages': false, 'as-of': this.revision}};
			}

			case 'POST kv-txn': {
				return this.#transact(body);
			}

			case 'POST kv-lease': {
				return this.#grant(body['ttl-s_time']);
			}

			case 'POST kv-keep': {
				return this.#renew(Number(id));
			}

			case 'DELETE kv-lease-end': {
				const isKnown = this.#leases.has(Number(id));
				this.#endLease(Number(id));
				return {status: isKnown ? 200 : 404};
			}

			default: {
				return {status: 404};
			}
		}
	}

	#transact({'expect-rev': expected = [], puts = [], remove = []}) {
		if ([...puts.map(({key}) => key), ...remove].some(key => !isOfSystem(key))) {
			return {status: 403};
		}

		if (expected.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			return {status: 412, body: {items: expected.flatMap(({key}) => this.#items.get(key) ?? [])}};
		}

		if (puts.some(({lease}) => lease && !this.#leases.has(lease))) {
			return {status: 404};
		}

		for (const put of puts) {
			this.#write({lease: 0, ...put});
		}

		for (const key of remove) {
			this.#remove(key);
		}

		return {status: 200, body: {revision: this.revision}};
	}

	#grant(seconds) {
		this.#lastLease += 1;
		const ttlMs = seconds * MILLISECONDS_PER_SECOND;
		this.#leases.set(this.#lastLease, {ttlMs, endsAtMs: performance.now() + ttlMs});
		return {status: 200, body: {lease: this.#lastLease, 'ttl-s_time': seconds}};
	}

	#renew(id) {
		const lease = this.#leases.get(id);
		if (!lease) {
			return {status: 404};
		}

		lease.endsAtMs = performance.now() + lease.ttlMs;
		return {status: 200, body: {'ttl-s_time': lease.ttlMs / MILLISECONDS_PER_SECOND}};
	}

	async #watch(parameters, socket) {
		const after = Number(parameters.get('after'));
		const prefix = parameters.get('prefix') ?? '';
		const list = () => this.#events.map(({event}) => event).filter(({key, revision}) => revision > after && key.startsWith(prefix));
		if (after > this.revision || after < this.#oldestRevision) {
			return {status: 410};
		}

		if (list().length === 0) {
			await this.#wait(Math.min(MAX_WAIT_MS, Number(parameters.get('wait-ms'))), socket);
		}

		return {status: 200, body: {events: list(), 'as-of': this.revision}};
	}

	async #wait(waitMs, socket) {
		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				socket.off('close', wake);
				this.#waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, waitMs);
			socket.once('close', wake);
			this.#waiting.add(wake);
		});
	}
}
