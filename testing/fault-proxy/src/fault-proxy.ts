/** TCP proxy between two processes that injects faults. Jitter and losses are random, drawn from a seed. */
import {
	connect, createServer,
} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {Endpoint} from '@pomelopick/core.types';
import {OrderedDelivery} from './ordered-delivery.js';

/** Faults of the network path. Tests change them while the proxy runs. */
export interface PathFaults {
	/** One-way delay, in milliseconds. */
	delayMs: number;
	/** Maximum random delay added for each chunk of data, in milliseconds. */
	jitterMs: number;
	/** Bandwidth of each connection in each direction, in bytes per second. 0 means unlimited. */
	bytesPerSecond: number;
	/** Closes open connections, and new ones as soon as they are accepted. */
	cut: boolean;
	/** Addresses of clients whose connections are closed in the same way. */
	cutSources: readonly string[];
	/** Buffers the data of all connections until this is switched off. */
	frozen: boolean;
	/** Drops data towards the server on the connections that are open when this is switched on. */
	silentToServer: boolean;
	/** Drops data towards the client on the connections that are open when this is switched on. */
	silentToClient: boolean;
	/** Percentage of new connections that are closed as soon as they are accepted. */
	lossPercent: number;
}

const noFaults: PathFaults = {
	delayMs: 0, jitterMs: 0, bytesPerSecond: 0, cut: false, cutSources: [], frozen: false, silentToServer: false, silentToClient: false, lossPercent: 0,
};

/** Options of {@link startFaultProxy}. */
export interface StartFaultProxyOptions {
	readonly target: Endpoint;
	readonly seed: number;
	readonly faults?: Partial<PathFaults>;
}

const PERCENT = 100;

/** Starts a proxy on the loopback address. */
export async function startFaultProxy({target, seed, faults}: StartFaultProxyOptions): Promise<FaultProxy> {
	const proxy = new FaultProxy({target, seed, faults});
	await proxy.listen();
	return proxy;
}

/** A running proxy. */
export class FaultProxy {
	#target: Endpoint;
	readonly #random;
	readonly #server: Server;
	readonly #connections = new Set<Connection>();
	#faults: PathFaults;
	#bytes = 0;

	constructor({target, seed, faults}: StartFaultProxyOptions) {
		this.#target = target;
		this.#random = xoroshiro128plus(seed);
		this.#faults = {...noFaults, ...faults};
		this.#server = createServer({allowHalfOpen: true}, client => {
			this.#accept(client);
		});
	}

	/** Address and port that clients connect to. */
	get endpoint(): Endpoint {
		return {address: '127.0.0.1', port: (this.#server.address() as AddressInfo).port};
	}

	/** Bytes received from both sides. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Starts listening. */
	async listen(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Changes the faults. `silentToServer` and `silentToClient` affect only the connections that are open at this moment, and for as long as they live. */
	set(faults: Partial<PathFaults>): void {
		this.#faults = {...this.#faults, ...faults};
		for (const connection of this.#connections) {
			connection.silentToServer ||= this.#faults.silentToServer;
			connection.silentToClient ||= this.#faults.silentToClient;
			if (this.#isCut(connection.source)) {
				connection.destroy();
			}
		}
	}

	/** Sends new connections to another target. */
	retarget(target: Endpoint): void {
		this.#target = target;
	}

	/** Closes all open connections. New connections are not affected. */
	cutConnections(): void {
		for (const connection of this.#connections) {
			connection.destroy();
		}
	}

	/** Closes all connections and stops listening. */
	async stop(): Promise<void> {
		// Frozen deliveries poll until they are released, which would keep the process running.
		this.set({frozen: false});
		this.cutConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#isCut(source: string | undefined): boolean {
		return this.#faults.cut || (source !== undefined && this.#faults.cutSources.includes(source));
	}

	#accept(client: Socket): void {
		if (this.#isCut(client.remoteAddress) || uniformInt(this.#random, 0, PERCENT - 1) < this.#faults.lossPercent) {
			client.on('error', () => undefined);
			client.destroy();
			return;
		}

		const server = connect({host: this.#target.address, port: this.#target.port, allowHalfOpen: true});
		const connection = new Connection({client, server});
		this.#connections.add(connection);
		connection.onClose(() => {
			this.#connections.delete(connection);
		});
		this.#relay({from: client, to: server, isSilent: () => connection.silentToServer});
		this.#relay({from: server, to: client, isSilent: () => connection.silentToClient});
	}

	#relay({from, to, isSilent}: {readonly from: Socket; readonly to: Socket; readonly isSilent: () => boolean}): void {
		let lastDueAtMs = 0;
		const delivery = new OrderedDelivery({isFrozen: () => this.#faults.frozen, isSilent});
		const deliver = (action: () => void, size: number): void => {
			const {delayMs, jitterMs, bytesPerSecond} = this.#faults;
			const nowMs = performance.now();
			const jitter = jitterMs > 0 ? uniformInt(this.#random, 0, Math.round(jitterMs)) : 0;
			const transferMs = bytesPerSecond > 0 ? size * 1000 / bytesPerSecond : 0;
			// Chunks keep their order: none is due before the previous one.
			lastDueAtMs = Math.max(lastDueAtMs + transferMs, nowMs + delayMs + jitter + transferMs);
			delivery.add({dueAtMs: lastDueAtMs, action});
		};

		from.on('data', (chunk: Uint8Array) => {
			this.#bytes += chunk.length;
			deliver(() => {
				to.write(chunk);
			}, chunk.length);
		});
		from.on('end', () => {
			deliver(() => {
				to.end();
			}, 0);
		});
	}
}

class Connection {
	silentToServer = false;
	silentToClient = false;
	/** Address of the client. */
	readonly source: string | undefined;
	readonly #sockets: readonly [Socket, Socket];

	constructor({client, server}: {readonly client: Socket; readonly server: Socket}) {
		this.source = client.remoteAddress;
		this.#sockets = [client, server];
		for (const socket of this.#sockets) {
			socket.setNoDelay(true);
			socket.on('error', () => {
				this.destroy();
			});
			socket.on('close', () => {
				this.destroyUnlessSilent();
			});
		}
	}

	onClose(listener: () => void): void {
		this.#sockets[0].once('close', listener);
	}

	destroy(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Closes both sockets, unless the connection is silent: then one end must not notice that the other has closed. */
	destroyUnlessSilent(): void {
		if (!this.silentToServer && !this.silentToClient) {
			this.destroy();
		}
	}
}
