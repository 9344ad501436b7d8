/** Backend server that records each request as it arrived, with all its headers. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {buffer} from 'node:stream/consumers';

const MAX_HEADER_BYTES = 1_048_576;

/** A request as the server received it. */
export interface RecordedRequest {
	readonly method: string;
	readonly path: string;
	/** Alternating names and values. */
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
}

/** A running server. */
export interface RecordingServer {
	readonly name: string;
	readonly port: number;
	/** Requests by their identifiers, in the order of their arrival. */
	readonly requests: ReadonlyMap<string, readonly RecordedRequest[]>;
	stop(): Promise<void>;
}

/** Starts a server on the loopback address, which answers every request with success. */
export async function startRecordingServer(name: string): Promise<RecordingServer> {
	const requests = new Map<string, RecordedRequest[]>();
	const server = createServer({maxHeaderSize: MAX_HEADER_BYTES}, async (request, response) => {
		const {method = '', url = '', headers, rawHeaders} = request;
		const body = await buffer(request);
		if (url === '/health') {
			response.setHeader('x-instance-id', name);
			response.end();
			return;
		}

		const id = String(headers['x-request-id']);
		requests.set(id, [...requests.get(id) ?? [], {
			method, path: url, rawHeaders, body,
		}]);
		response.writeHead(200, {'x-request-id': id, 'x-server-stamp': `${name}.${id}`, 'content-length': Buffer.byteLength(id)}).end(id);
	});
	// Zero stands for no maximum.
	server.maxHeadersCount = 0;
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		name,
		port: (server.address() as AddressInfo).port,
		requests,
		async stop() {
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
