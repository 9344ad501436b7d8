/**
 * Stand-in for the platform's metadata store: keys, transactions, watches and leases over HTTP.
 *
 * While it is down it answers nobody, does nothing that it is asked for, and its leases pause.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {text as readText} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
const LEASE_CHECK_MS = 20;
const MILLISECONDS_PER_SECOND = 1000;
const LEASE_PATH = /^\/pomelopick\/kv-(?<verb>keep|lease-end)\/(?<id>\d+)$/u;

/** Starts a store on a loopback address. */
export async function startStore({record}) {
	const store = new Store({record});
	await store.listen();
	return store;
}

class Store {
	#items = new Map();
	#events = [];
	#revision = 1;
	#leases = new Map();
	#lastLease = 0;
	#watches = new Set();
	#isDown = false;
	#onRenewed = ignore;
	#record;
	#server;
	#newServer;
	#address;
	#timer;

	constructor({record}) {
		this.#record = record;
		this.#server = createServer((request, response) => {
			this.#serve({request, response});
		});
	}

	/** Whether the store is down. */
	get isDown() {
		return this.#isDown;
	}

	get address() {
		return this.#address;
	}

	async listen() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.#address = `127.0.0.1:${this.#server.address().port}`;
		let lastMs = performance.now();
		this.#timer = setInterval(() => {
			const nowMs = performance.now();
			const passedMs = this.#isDown ? 0 : nowMs - lastMs;
			lastMs = nowMs;
			for (const [id, lease] of this.#leases) {
				lease.leftMs -= passedMs;
				if (lease.leftMs <= 0) {
					this.#endLease({id, why: 'ran out'});
				}
			}
		}, LEASE_CHECK_MS);
	}

	/** Lets the store answer at a second address too; returns it. */
	async listenAtNewAddress() {
		this.#newServer = createServer((request, response) => {
			this.#serve({request, response});
		});
		this.#newServer.listen(0, '127.0.0.1');
		await once(this.#newServer, 'listening');
		const address = `127.0.0.1:${this.#newServer.address().port}`;
		this.#record.line(`store: answers at ${address} too`);
		return address;
	}

	/** Ends answering at the first address. */
	leaveFirstAddress() {
		this.#record.line(`store: answers at ${this.address} no more`);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes a key as the operator or a server does. */
	write(key, value) {
		this.#put({key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0});
	}

	/** Removes a key as the operator or a server does. */
	remove(key) {
		this.#delete(key);
	}

	/** Lists the keys with a prefix. */
	keys(prefix) {
		return [...this.#items.keys()].filter(key => key.startsWith(prefix));
	}

	/** Resolves once the lease of a key was renewed. */
	async nextRenewal(key) {
		await new Promise(resolve => {
			this.#onRenewed = id => {
				if (this.#items.get(key)?.lease === id) {
					resolve();
				}
			};
		});
	}

	/** Takes the store down, or brings it back. */
	setDown(isDown) {
		this.#isDown = isDown;
		this.#record.line(isDown ? 'store: down, answers nobody, leases pause' : 'store: back, leases go on');
		if (isDown) {
			this.#server.closeAllConnections();
		}
	}

	async stop() {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
		this.#newServer?.close();
		this.#newServer?.closeAllConnections();
	}

	async #serve({request, response}) {
		response.on('error', ignore);
		request.on('error', ignore);
		if (this.#isDown) {
			return;
		}

		const url = new URL(request.url, 'http://store');
		try {
			const body = await readText(request);
			await sleep(ANSWER_MS);
			if (this.#isDown) {
				return;
			}

			const answer = await this.#answer({url, body, request});
			if (!this.#isDown) {
				response.writeHead(answer.status, {'content-type': 'application/json'}).end(JSON.stringify(answer.body));
			}
		} catch (error) {
			this.#record.line(`store: call ${url.pathname} not answered: ${error.message}`);
			response.destroy();
		}
	}

	async #answer({url: {pathname, searchParams}, body, request}) {
		switch (pathname) {
			case '/pomelopick/kv-key': {
				const item = this.#items.get(searchParams.get('key'));
				return {status: item ? 200 : 404, body: {...item, 'as-of': this.#revision}};
			}

			case '/pomelopick/kv-range': {
				return this.#readRange({prefix: searchParams.get('prefix') ?? '', after: searchParams.get('after') ?? ''});
			}

			case '/pomelopick/kv-watch': {
				return this.#watch({
					prefix: searchParams.get('prefix') ?? '', after: Number(searchParams.get('after')), waitMs: Number(searchParams.get('wait-ms')), request,
				});
			}

			case '/pomelopick/kv-txn': {
				return this.#transact(JSON.parse(body));
			}

			case '/pomelopick/kv-lease': {
				this.#lastLease += 1;
				const seconds = JSON.parse(body)['ttl-s_time'];
				this.#leases.set(this.#lastLease, {ttlMs: seconds * MILLISECONDS_PER_SECOND, leftMs: seconds * MILLISECONDS_PER_SECOND});
				return {status: 200, body: {lease: this.#lastLease, 'ttl-s_time': seconds}};
			}

			default: {
				return this.#handleLease(LEASE_PATH.exec(pathname)?.groups);
			}
		}
	}

	#handleLease(groups) {
		const id = Number(groups?.id);
		const lease = this.#leases.get(id);
		if (!lease) {
			return {status: 404, body: {}};
		}

		if (groups.verb === 'keep') {
			lease.leftMs = lease.ttlMs;
			this.#onRenewed(id);
		} else {
			this.#endLease({id, why: 'was ended'});
		}

		return {status: 200, body: {}};
	}

	#readRange({prefix, after}) {
		const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1);
		return {status: 200, body: {items: items.slice(0, PAGE_ITEMS), 'more-pages': items.length > PAGE_ITEMS, 'as-of': this.#revision}};
	}

	async #watch({prefix, after, waitMs, request}) {
		const listEvents = () => this.#events.filter(({key, revision}) => revision > after && key.startsWith(prefix));
		if (listEvents().length === 0) {
			await new Promise(resolve => {
				const end = () => {
					clearTimeout(timer);
					this.#watches.delete(watch);
					request.socket.off('close', end);
					resolve();
				};

				const watch = {prefix, end};
				const timer = setTimeout(end, waitMs);
				this.#watches.add(watch);
				request.socket.once('close', end);
			});
		}

		return {status: 200, body: {events: listEvents(), 'as-of': this.#revision}};
	}

	#transact({'expect-rev': expected, puts, remove}) {
		if (puts.some(({lease}) => lease !== 0 && !this.#leases.has(lease))) {
			return {status: 404, body: {}};
		}

		if (expected.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			return {status: 412, body: {items: expected.flatMap(({key}) => this.#items.get(key) ?? [])}};
		}

		for (const put of puts) {
			this.#put(put);
		}

		for (const key of remove) {
			this.#delete(key);
		}

		return {status: 200, body: {revision: this.#revision}};
	}

	#put({key, value, lease}) {
		this.#revision += 1;
		const item = {
			key, value, revision: this.#revision, 'create-rev': this.#items.get(key)?.['create-rev'] ?? this.#revision, lease,
		};
		this.#items.set(key, item);
		this.#tell(item);
	}

	#delete(key) {
		if (this.#items.delete(key)) {
			this.#revision += 1;
			this.#tell({key, revision: this.#revision, removed: true});
		}
	}

	#endLease({id, why}) {
		this.#leases.delete(id);
		for (const {key, lease} of this.#items.values()) {
			if (lease === id) {
				this.#record.line(`store: lease of ${key} ${why}`);
				this.#delete(key);
			}
		}
	}

	#tell(event) {
		this.#events.push(event);
		for (const {prefix, end} of this.#watches) {
			if (event.key.startsWith(prefix)) {
				end();
			}
		}
	}
}

function ignore() {
	// The other side has gone, or the store went down meanwhile.
}
