/** Stand-in for a backend server of the users' platform. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {serve} from './serve-request.js';
import type {AnnouncedState, ServerRecords} from './serve-request.js';

/** Options of {@link startRegisteredServer}. */
export interface StartRegisteredServerOptions {
	readonly name: string;
	readonly records: ServerRecords;
	readonly port?: number;
	/** Called after a request has crashed the server. */
	readonly onCrash?: () => void;
	/** Called when the server stops answering without closing its connections. */
	readonly onSilent?: () => void;
}

/** A running server. */
export interface RegisteredServer {
	readonly name: string;
	readonly port: number;
	/** Sets whether all further responses announce that the server leaves. */
	setLeaving(isLeaving: boolean): void;
	/** Sets the rate limit, in requests per second, that all further responses name; undefined: none. The text is sent as it is. */
	nameRateLimit(text: string | undefined): void;
	/** Rejects all requests for a time, in milliseconds, and states the remaining time in the responses. */
	requestPause(pauseMs: number): void;
	/** Sets the time for which the server says in its health responses that it warms up, in milliseconds. */
	warmUp(durationMs: number): void;
	/** Sets the fourth value of the load header, where 100 is the usual speed; undefined: none. The text is sent as it is. */
	nameWorkTime(text: string | undefined): void;
	/** Ends all that it announces, as a new start of a server does. */
	startAnew(): void;
	/** Stops answering: all connections stay open and carry nothing more. */
	fallSilent(): void;
	/** Ends as a request that crashes it does. */
	crash(): void;
	/** Resets all connections and stops listening. */
	reset(): Promise<void>;
	/** Closes all connections and stops listening. */
	stop(): Promise<void>;
}

/** Starts a server on the loopback address. It does not register itself. */
export async function startRegisteredServer({name, records, port = 0, onCrash, onSilent}: StartRegisteredServerOptions): Promise<RegisteredServer> {
	const sockets = new Set<Socket>();
	const announced: AnnouncedState = {
		isLeaving: false, leaveCount: 0, pausedUntilMs: 0, rateLimit: undefined, coldUntilMs: 0, workTime: undefined,
	};
	let isSilent = false;
	const reset = (): void => {
		for (const socket of sockets) {
			resetOrClose(socket);
		}
	};

	const fallSilent = (): void => {
		isSilent = true;
		for (const socket of sockets) {
			silence(socket);
		}

		onSilent?.();
	};

	const crash = (): void => {
		reset();
		server.close(onCrash);
	};

	const server: Server = createServer((request, response) => {
		void serve({
			name,
			records,
			announced,
			request,
			response,
			crash,
			fallSilent,
		});
	});
	server.on('connection', socket => {
		if (isSilent) {
			silence(socket);
		}

		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return {
		name,
		port: (server.address() as AddressInfo).port,
		setLeaving(isLeaving) {
			announced.isLeaving = isLeaving;
			announced.leaveCount += Number(isLeaving);
		},
		nameRateLimit(text) {
			announced.rateLimit = text;
		},
		requestPause(pauseMs) {
			announced.pausedUntilMs = performance.now() + pauseMs;
		},
		warmUp(durationMs) {
			announced.coldUntilMs = performance.now() + durationMs;
		},
		nameWorkTime(text) {
			announced.workTime = text;
		},
		startAnew() {
			Object.assign(announced, {
				isLeaving: false, pausedUntilMs: 0, rateLimit: undefined, coldUntilMs: 0, workTime: undefined,
			});
		},
		fallSilent,
		crash,
		async reset() {
			reset();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
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

/** Resets a connection. The runtime cannot reset one that is being shut down: its handle would stay open and keep the event loop busy. */
function resetOrClose(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/** Makes a connection carry nothing more: what is written stays in its buffer. */
function silence(socket: Socket): void {
	socket.pause();
	socket.cork();
}
