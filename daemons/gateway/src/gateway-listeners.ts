/** Creates the listeners of a gateway, binds them to their addresses and closes them. */
import {Either, Left, Right} from 'purify-ts';
import {CallerListener} from '@pomelopick/calls.listener';
import type {LiveView} from '@pomelopick/calls.live';
import type {BindError, ListenerBinder} from '@pomelopick/core.listeners';
import type {Endpoint} from '@pomelopick/core.types';
import {encodeRetryAfter, platformHeaders} from '@pomelopick/platform.wire';
import {createBinder, createFailureLog} from './create-binder.js';
import {createDirectory, createReadiness} from './directory.js';
import type {GatewayContext, GatewayParts} from './gateway-parts.js';
import {HttpListener} from './http-listener.js';
import {createMetricsHandler} from './metrics.js';
import {createPeerHandler} from './peer-handler.js';

/** Maximum size of headers that the HTTP parser accepts, in bytes; the operator's limit is lower and is checked later. */
export const MAX_HEADER_BYTES = 65_536;
/** Time for which connections stay open beyond the configured idle timeout, in milliseconds. */
const IDLE_MARGIN_MS = 1000;
/** Share of the shutdown time during which requests are still accepted, while callers are informed that the instance is leaving. */
const ANNOUNCE_RATIO = 0.5;
const LISTENER_TIMES = {headersTimeoutMs: 5000, idleTimeoutMs: 20_000};

/** Options of {@link GatewayListeners}. */
export interface GatewayListenersOptions {
	readonly context: GatewayContext;
	readonly parts: GatewayParts;
	/** Whether the gateway takes requests. */
	readonly isReady: () => boolean;
}

/** Endpoints on which a gateway listens for others than instances. */
export interface GatewayEndpoints {
	readonly callers: Endpoint;
	readonly readiness: Endpoint;
	readonly directory: Endpoint;
	readonly metrics: Endpoint;
}

/** The listeners. */
export class GatewayListeners {
	readonly #options: GatewayListenersOptions;
	readonly #binder: ListenerBinder;
	readonly #callers: CallerListener;
	readonly #readiness: HttpListener;
	readonly #directory: HttpListener;
	readonly #metrics: HttpListener;
	readonly #peers: HttpListener;

	constructor(options: GatewayListenersOptions) {
		const {context: {settings, self, counters, log, now}, parts, isReady} = options;
		const {viewParts: {view}, relay, overload} = parts;
		const failures = createFailureLog({counters, log, now});
		this.#options = options;
		this.#callers = createCallerListener(options);
		this.#readiness = new HttpListener({handle: createReadiness({isReady}), onFailure: failures('readiness')});
		this.#directory = new HttpListener({
			handle: createDirectory({
				view, self, isFull: () => overload.isFull, isReady, maxTimeToLiveMs: settings().directoryMaxAgeMs, counters, now,
			}),
			onFailure: failures('directory'),
		});
		this.#peers = new HttpListener({handle: createPeerHandler({...parts, log}), maxHeaderBytes: MAX_HEADER_BYTES, onFailure: failures('peers')});
		this.#metrics = new HttpListener({handle: createMetricsHandler(counters), onFailure: failures('metrics')});
		this.#binder = createBinder({counters, log, now});
	}

	/** Uses the limits of the active configuration. */
	useLimits({headerTimeoutMs, idleTimeoutMs}: NonNullable<LiveView['routeSet']>['limits']): void {
		this.#callers.setTimeouts({headersTimeoutMs: headerTimeoutMs, idleTimeoutMs: idleTimeoutMs + IDLE_MARGIN_MS});
	}

	/** Binds all listeners; waits for addresses that are in use. Left if one can never be bound, or was not bound before {@link stopBinding}. */
	async bind(): Promise<Either<BindError, GatewayEndpoints>> {
		const {listen} = this.#options.context.settings();
		const binder = this.#binder;
		const bindings = await Promise.all([
			binder.bind({server: this.#callers.server, listener: 'callers', endpoint: listen.callers}),
			binder.bind({server: this.#readiness.server, listener: 'readiness', endpoint: listen.readiness}),
			binder.bind({server: this.#directory.server, listener: 'directory', endpoint: listen.directory}),
			binder.bindOptional({server: this.#metrics.server, listener: 'metrics', endpoint: listen.metrics}),
			binder.bind({server: this.#peers.server, listener: 'peers', endpoint: listen.peers}),
		]);
		const unbound = Either.lefts(bindings);
		if (unbound.length > 0) {
			return Left(unbound.find(({code}) => code === 'bind-refused') ?? unbound[0]!);
		}

		const [callers, readiness, directory, metrics] = Either.rights(bindings) as [Endpoint, Endpoint, Endpoint, Endpoint, Endpoint];
		return Right({
			callers, readiness, directory, metrics,
		});
	}

	/** Waits for no address any longer. */
	stopBinding(): void {
		this.#binder.stop();
	}

	/** Closes the listener for callers; waits for requests in progress for at most the given time, in milliseconds. */
	async stopCallers(timeoutMs: number): Promise<void> {
		const {handler} = this.#options.parts.relay;
		await this.#callers.stop({timeoutMs, inProgress: () => handler.inProgress});
	}

	/** Closes all other listeners. */
	async stopOthers(): Promise<void> {
		await Promise.all([this.#readiness.stop(), this.#directory.stop(), this.#peers.stop(), this.#metrics.stop()]);
	}
}

function createCallerListener({context: {settings, counters}, parts: {relay}}: GatewayListenersOptions): CallerListener {
	const {limits, shutdownMs} = settings();
	return new CallerListener({
		counters,
		maxCalls: limits.requests,
		limits: {headerBytes: MAX_HEADER_BYTES, ...LISTENER_TIMES},
		announceMs: shutdownMs * ANNOUNCE_RATIO,
		refusalFormat: {idHeader: platformHeaders.requestId, encodeRetryAfter},
		route: async options => relay.handler.handle(options),
	});
}
