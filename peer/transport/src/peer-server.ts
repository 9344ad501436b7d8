/** HTTP/2 server for calls from other instances. */
import {once} from 'node:events';
import {createServer} from 'node:http2';
import type {Http2Server, ServerHttp2Session} from 'node:http2';
import type {AddressInfo, Socket} from 'node:net';
import type {ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {Endpoint} from '@pomelopick/core.types';

/** Options of {@link startPeerServer}. */
export interface StartPeerServerOptions {
	readonly endpoint: Endpoint;
	/** Registers the services of this instance. */
	readonly register: (router: ConnectRouter) => void;
}

/** A running peer server. */
export interface PeerServer {
	readonly endpoint: Endpoint;
	/** Bytes received and sent over all connections since the start. */
	readonly countBytes: () => number;
	/** Closes the listener and all sessions. */
	stop(): Promise<void>;
}

/** A peer server that need not listen yet. */
export interface CreatedPeerServer extends Omit<PeerServer, 'endpoint'> {
	readonly server: Http2Server;
}

/** Creates a peer server over HTTP/2 without TLS, which the caller binds to its address. */
export function createPeerServer({register}: Pick<StartPeerServerOptions, 'register'>): CreatedPeerServer {
	const server = createServer(connectNodeAdapter({routes: register}));
	const sessions = new Set<ServerHttp2Session>();
	server.on('session', session => {
		sessions.add(session);
		session.once('close', () => {
			sessions.delete(session);
		});
	});
	return {server, countBytes: trackBytes(server), stop: async () => stopServer({server, sessions})};
}

/** Starts listening for peers. Rejects when the address cannot be bound. */
export async function startPeerServer({endpoint, register}: StartPeerServerOptions): Promise<PeerServer> {
	const {server, countBytes, stop} = createPeerServer({register});
	server.listen(endpoint.port, endpoint.address);
	await once(server, 'listening');
	const {address, port} = server.address() as AddressInfo;
	return {endpoint: {address, port}, countBytes, stop};
}

function trackBytes(server: Http2Server): () => number {
	const sockets = new Set<Socket>();
	const bytesOf = ({bytesRead, bytesWritten}: Socket): number => bytesRead + bytesWritten;
	let closedBytes = 0;
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
			closedBytes += bytesOf(socket);
		});
	});
	return () => {
		let bytes = closedBytes;
		for (const socket of sockets) {
			bytes += bytesOf(socket);
		}

		return bytes;
	};
}

async function stopServer({server, sessions}: {readonly server: Http2Server; readonly sessions: ReadonlySet<ServerHttp2Session>}): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		for (const session of sessions) {
			session.destroy();
		}
	});
}
