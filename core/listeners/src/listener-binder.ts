/**
 * Binds the servers of one process to their addresses.
 *
 * An address that is in use, or that the machine does not have yet, is tried again until it can be bound: the process before
 * may still hold it, or an outgoing connection may occupy its port. To end the process instead would only move the wait to
 * whoever starts it again.
 */
import type {AddressInfo, Server} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as startTimeout} from 'node:timers/promises';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Endpoint} from '@pomelopick/core.types';

/** First and longest pause between two attempts, in milliseconds. */
const FIRST_PAUSE_MS = 50;
const MAX_PAUSE_MS = 500;
/** Errors that may pass without a change of the settings; all others are final. */
const passingErrors: ReadonlySet<string> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM']);

/** What happened to one listener. */
export interface ListenerReport {
	/** Name of the listener in the settings. */
	readonly listener: string;
	/** Its address, as `IP:PORT`. */
	readonly address: string;
}

/** An error of a listener. */
export interface ListenerFailure extends ListenerReport {
	/** Code of the operating system. */
	readonly reason: string;
	readonly detail: string;
}

/** Receives what happens to listeners. */
export interface ListenerObserver {
	/** The first attempt to bind failed; it is tried again until it succeeds. */
	onWaits(failure: ListenerFailure): void;
	/** A further attempt begins. */
	onRetry(report: ListenerReport): void;
	/** An address that was waited for is bound. */
	onStands(report: ListenerReport & {readonly waitedMs: number}): void;
	/** A bound listener had an error, such as a connection that could not be accepted. It keeps listening. */
	onError(failure: ListenerFailure): void;
	/** A listener that the process can do without can never be bound. */
	onRefused(error: BindError): void;
}

/** Why a server is not bound; `bind-stopped`: the process is about to end. */
export interface BindError {
	readonly code: 'bind-refused' | 'bind-stopped';
	readonly message: string;
}

/** Options of {@link ListenerBinder.bind}. */
export interface BindOptions {
	readonly server: Server;
	/** Name of the listener in the settings. */
	readonly listener: string;
	/** Address to bind; port 0 chooses a free port. */
	readonly endpoint: Endpoint;
}

/** Binds servers until it is stopped. */
export class ListenerBinder {
	readonly #observer: ListenerObserver;
	readonly #stop = new AbortController();

	constructor({observer}: {readonly observer: ListenerObserver}) {
		this.#observer = observer;
	}

	/** Binds a server, for as long as it takes, and returns its address. An address that can never be bound stops the whole binder. */
	async bind(options: BindOptions): Promise<Either<BindError, Endpoint>> {
		const bound = await this.#attempt(options);
		return bound ?? this.#retry(options);
	}

	/** Binds a server that the process can do without: when its address is in use, returns at once and goes on trying. */
	async bindOptional(options: BindOptions): Promise<Either<BindError, Endpoint>> {
		const bound = await this.#attempt(options);
		if (!bound) {
			void this.#retryOptional(options);
		}

		return bound ?? Right(options.endpoint);
	}

	/** Ends all waiting; further calls bind nothing. */
	stop(): void {
		this.#stop.abort();
	}

	async #retryOptional(options: BindOptions): Promise<void> {
		const bound = await this.#retry(options);
		bound.ifLeft(error => {
			if (error.code === 'bind-refused') {
				this.#observer.onRefused(error);
			}
		});
	}

	async #retry(options: BindOptions): Promise<Either<BindError, Endpoint>> {
		const startMs = performance.now();
		const report = reportOf(options);
		for (let pauseMs = FIRST_PAUSE_MS; ; pauseMs = Math.min(pauseMs * 2, MAX_PAUSE_MS)) {
			await this.#pause(pauseMs);
			this.#observer.onRetry(report);
			const bound = await this.#attempt({...options, isFurther: true});
			if (bound) {
				bound.ifRight(() => {
					this.#observer.onStands({...report, waitedMs: Math.round(performance.now() - startMs)});
				});
				return bound;
			}
		}
	}

	/** Tries to bind once; returns undefined when the error may pass. */
	async #attempt({isFurther = false, ...options}: BindOptions & {readonly isFurther?: boolean}): Promise<Either<BindError, Endpoint> | undefined> {
		const {server, listener} = options;
		const report = reportOf(options);
		if (this.#stop.signal.aborted) {
			return Left({code: 'bind-stopped', message: `listen.${listener}: stopped before ${report.address} was bound`});
		}

		const error = await listenOnce(options);
		if (!error) {
			server.on('error', laterError => {
				this.#observer.onError(failureOf({report, error: laterError}));
			});
			const {address, port} = server.address() as AddressInfo;
			return Right({address, port});
		}

		const failure = failureOf({report, error});
		if (!passingErrors.has(failure.reason)) {
			this.stop();
			return Left({code: 'bind-refused', message: `listen.${listener}: expected an address to listen on (found "${report.address}"): ${failure.detail}`});
		}

		if (!isFurther) {
			this.#observer.onWaits(failure);
		}

		return undefined;
	}

	async #pause(milliseconds: number): Promise<void> {
		try {
			await startTimeout(milliseconds, undefined, {signal: this.#stop.signal});
		} catch {
			// Stopped: the next attempt says so.
		}
	}
}

/** Tries to listen; returns the error, if any. A server that failed to listen can be tried again. */
async function listenOnce({server, endpoint}: BindOptions): Promise<Error | undefined> {
	return new Promise(resolve => {
		const onListening = (): void => {
			server.off('error', onError);
			resolve(undefined);
		};

		const onError = (error: Error): void => {
			server.off('listening', onListening);
			resolve(error);
		};

		server.once('listening', onListening);
		server.once('error', onError);
		server.listen(endpoint.port, endpoint.address);
	});
}

function reportOf({listener, endpoint: {address, port}}: BindOptions): ListenerReport {
	return {listener, address: address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`};
}

function failureOf({report, error}: {readonly report: ListenerReport; readonly error: NodeJS.ErrnoException}): ListenerFailure {
	return {...report, reason: error.code ?? error.name, detail: error.message};
}
