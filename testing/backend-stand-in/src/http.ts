/** What the stand-in needs of HTTP. */
import {createHash} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {buffer} from 'node:stream/consumers';

/** Body of a request; empty when the caller left before it was whole. */
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

/** Sends a JSON answer unless the caller has left. */
export function sendJson({response, status, body, headers = {}}: SendJsonOptions): void {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json', ...headers});
		response.end(JSON.stringify(body));
	}
}

/** SHA-256, in hexadecimal. */
export function digest(content: string | Uint8Array): string {
	return createHash('sha256').update(content).digest('hex');
}

/** Stops a server and cuts its connections. */
export async function stopServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
