/** A backend server that reads uploads, works on them for a time, and records from when to when it held each. */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {UploadRecord} from './upload-check.js';

/** Options of {@link startUploadServer}. */
export interface StartUploadServerOptions {
	readonly name: string;
	/** Maximum size of a body, which an upload without a stated length counts as. */
	readonly maxBodyBytes: number;
	/** Time for which the server works on an upload that it has read, in milliseconds. */
	readonly workMs: number;
	/** Records that the server adds to when an upload ends. */
	readonly uploads: UploadRecord[];
}

/** A running server. */
export interface UploadServer {
	readonly name: string;
	readonly port: number;
	/** Stops the server; what it still holds is recorded as held until now. */
	stop(): Promise<void>;
}

/** Starts a server on the loopback address. */
export async function startUploadServer(options: StartUploadServerOptions): Promise<UploadServer> {
	const {name} = options;
	const server = createServer((request, response) => {
		if (request.method === 'POST') {
			hold({...options, request, response});
		} else {
			response.writeHead(200, {'x-instance-id': name}).end();
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		name,
		port: (server.address() as AddressInfo).port,
		async stop() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
	};
}

function hold({name, maxBodyBytes, workMs, uploads, request, response}: StartUploadServerOptions & {readonly request: IncomingMessage; readonly response: ServerResponse}): void {
	const requestId = String(request.headers['x-request-id']);
	const fromMs = performance.now();
	let isHeld = true;
	const end = (): void => {
		if (isHeld) {
			isHeld = false;
			uploads.push({
				requestId, server: name, bytes: Number(request.headers['content-length'] ?? maxBodyBytes), fromMs, toMs: performance.now(),
			});
		}
	};

	request.on('error', end);
	response.once('close', end);
	request.resume().once('end', () => {
		setTimeout(() => {
			end();
			response.writeHead(200, {'x-request-id': requestId, 'x-server-stamp': `${name}.${requestId}`, 'content-length': '0'}).end();
		}, workMs);
	});
}
