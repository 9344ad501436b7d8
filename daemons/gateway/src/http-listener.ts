/** HTTP listeners for other purposes than callers' requests, such as readiness and metrics. */
import {createServer} from 'node:http';
import type {RequestListener, Server} from 'node:http';

/** An HTTP listener with one request listener for all paths. */
export class HttpListener {
	readonly server: Server;

	constructor({handle}: {readonly handle: RequestListener}) {
		this.server = createServer(handle);
	}

	/** Closes the listener and its connections; does nothing when it is not listening. */
	async stop(): Promise<void> {
		await new Promise<void>(resolve => {
			this.server.close(() => {
				resolve();
			});
			this.server.closeAllConnections();
		});
	}
}
