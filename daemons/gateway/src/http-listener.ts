/** HTTP listeners for other purposes than callers' requests, such as readiness and metrics. */
import {createServer, maxHeaderSize} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {HeaderCount} from '@pomelopick/calls.listener';

const HEADERS_TOO_LARGE = 431;

/** Handles one request. */
export type HandleRequest = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Options of {@link HttpListener}. */
export interface HttpListenerOptions {
	readonly handle: HandleRequest;
	/** Maximum size of headers, in bytes; that of the runtime by default. */
	readonly maxHeaderBytes?: number;
	/** Called with each error that handling a request threw; its caller gets status 500. */
	readonly onFailure: (failure: {readonly target: string; readonly error: Error}) => void;
}

/** An HTTP listener with one handler for all paths. */
export class HttpListener {
	readonly server: Server;
	readonly #options: HttpListenerOptions;
	readonly #headerCount: HeaderCount;

	constructor(options: HttpListenerOptions) {
		const {maxHeaderBytes = maxHeaderSize} = options;
		this.#options = options;
		this.#headerCount = new HeaderCount({headBytes: maxHeaderBytes});
		this.server = createServer({maxHeaderSize: maxHeaderBytes}, (request, response) => {
			void this.#handle({request, response});
		});
		this.#headerCount.applyTo(this.server);
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

	/** An error concerns one request: those of others, and the process, go on. */
	async #handle({request, response}: {readonly request: IncomingMessage; readonly response: ServerResponse}): Promise<void> {
		if (this.#headerCount.isExceededBy(request)) {
			response.writeHead(HEADERS_TOO_LARGE, {connection: 'close'}).end();
			return;
		}

		try {
			await this.#options.handle(request, response);
		} catch (error) {
			this.#options.onFailure({target: request.url ?? '', error: error as Error});
			if (response.headersSent) {
				response.destroy();
			} else {
				response.writeHead(500, {connection: 'close'}).end();
			}
		}
	}
}
