/** Serves requests on a free port of the loopback address. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Endpoint} from '@pomelopick/core.types';

/** A server that listens. */
export interface ListeningServer {
	readonly endpoint: Endpoint;
	/** Closes the server and its connections. */
	readonly close: () => void;
}

/** Starts a server with a listener. */
export async function listenOnLoopback(listener: RequestListener): Promise<ListeningServer> {
	const server = createServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		endpoint: {address: '127.0.0.1', port: (server.address() as AddressInfo).port}, close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
