/** HTTP helpers of the stand-in. */
import {createHash} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {buffer} from 'node:stream/consumers';

/** Reads the body of a request. Returns an empty body if the caller disconnects before it is complete. */
export async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	try {
		return await buffer(request);
	} catch {
		return new Uint8Array();
	}
}

/** Options of {@link sendJson}. */
export interface SendJsonOptions {
	readonly response: ServerResponse;
	readonly status: number;
	readonly body: unknown;
	readonly headers?: Record<string, string>;
}

/** Sends a JSON response unless the caller has disconnected. */
export function sendJson({response, status, body, headers = {}}: SendJsonOptions): void {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json', ...headers});
		response.end(JSON.stringify(body));
	}
}

/** Returns the SHA-256 digest in hexadecimal. */
export function digest(content: string | Uint8Array): string {
	return createHash('sha256').update(content).digest('hex');
}

/** Stops a server and closes its connections. */
export async function stopServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
