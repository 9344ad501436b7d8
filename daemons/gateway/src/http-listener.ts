/** HTTP listeners for other purposes than callers' requests, such as readiness and metrics. */
import {createServer} from 'node:http';
import type {RequestListener, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Endpoint} from '@pomelopick/core.types';

/** Listens on an endpoint and returns it; port 0 chooses a free port. Rejects when the address is already in use. */
export async function listen({server, endpoint}: {readonly server: Server; readonly endpoint: Endpoint}): Promise<Endpoint> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(endpoint.port, endpoint.address, resolve);
	});
	const {address, port} = server.address() as AddressInfo;
	return {address, port};
}

/** An HTTP listener with one request listener for all paths. */
export class HttpListener {
	readonly #server: Server;
	readonly #endpoint: Endpoint;

	constructor({endpoint, handle}: {readonly endpoint: Endpoint; readonly handle: RequestListener}) {
		this.#server = createServer(handle);
		this.#endpoint = endpoint;
	}

	/** Starts listening; returns the endpoint. */
	async start(): Promise<Endpoint> {
		return listen({server: this.#server, endpoint: this.#endpoint});
	}

	/** Closes the listener and its connections. */
	async stop(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}
}
