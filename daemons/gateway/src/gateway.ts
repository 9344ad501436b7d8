/** Starts and stops one gateway. */
import {randomInt} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {Either, Left, Right} from 'purify-ts';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {CallerListener, HeaderCount} from '@pomelopick/calls.listener';
import {
	broadcastPath, createBroadcastListener, createChangeListener, readSuspicion,
} from '@pomelopick/calls.live';
import type {InstanceRecord} from '@pomelopick/calls.live';
import {PERMITS_PATH} from '@pomelopick/calls.rate-limits';
import {FORWARDED_PATH} from '@pomelopick/calls.relay';
import type {GatewaySettings, SettingsError} from '@pomelopick/config.settings';
import type {BindError} from '@pomelopick/core.listeners';
import {DecisionLog, EventLoopMonitor, ServedCounters} from '@pomelopick/core.telemetry';
import type {OutputWriter} from '@pomelopick/core.telemetry';
import type {Endpoint} from '@pomelopick/core.types';
import {encodeRetryAfter, platformHeaders} from '@pomelopick/platform.wire';
import {createDirectory, createReadiness} from './directory.js';
import type {CodeCacheUse} from './code-cache.js';
import {createBinder, createFailureLog} from './create-binder.js';
import {createRateLimits} from './create-rate-limits.js';
import {createRelay} from './create-relay.js';
import {createView} from './create-view.js';
import {HttpListener} from './http-listener.js';
import type {HandleRequest} from './http-listener.js';

const MAX_SEED = 2_147_483_647;
const MILLISECONDS_PER_SECOND = 1000;
/** Maximum size of headers that the HTTP parser accepts, in bytes; the operator's limit is lower and is checked later. */
const MAX_HEADER_BYTES = 65_536;
/** Time for which connections stay open beyond the configured idle timeout, in milliseconds. */
const IDLE_MARGIN_MS = 1000;
/** Part of the shutdown time that is reserved for closing listeners and connections at its end, in milliseconds. */
const CLOSE_RESERVE_MS = 500;
/** Share of the shutdown time during which requests are still accepted, while callers are informed that the instance is leaving. */
const ANNOUNCE_RATIO = 0.5;
const LISTENER_TIMES = {headersTimeoutMs: 5000, idleTimeoutMs: 20_000};

/** Options of {@link startGateway}. */
export interface StartGatewayOptions {
	readonly settings: GatewaySettings;
	readonly output: OutputWriter;
	/** Whether the program was started from its code cache, for the log; `missing` by default. */
	readonly codeCache?: CodeCacheUse;
	/** Ends a start that waits for an address; a gateway that has started is stopped by {@link Gateway.stop}. */
	readonly stopSignal?: AbortSignal;
}

/** A running gateway. */
export interface Gateway {
	/** Endpoints on which it listens. */
	readonly endpoints: {readonly callers: Endpoint; readonly readiness: Endpoint; readonly directory: Endpoint; readonly metrics: Endpoint};
	/** Whether it accepts requests. */
	readonly isReady: () => boolean;
	/** Number of requests in progress. */
	readonly countRequests: () => number;
	/** Applies changed settings, except those of listeners and the store, which only apply at the start. */
	useSettings(settings: GatewaySettings): void;
	/** Logs that changed settings are invalid; the previous ones stay active. */
	keepSettings(error: SettingsError): void;
	/** Stops gracefully: first waits for requests in progress, for the time of the settings or for the given one. Further calls return the same promise. */
	stop(options?: {readonly timeoutMs?: number}): Promise<void>;
}

/**
 * Starts a gateway. It reads the store and registers itself only once all its listeners stand, except the one for metrics:
 * no address is announced at which nothing listens yet. Waits for addresses that are in use.
 *
 * @returns Left `bind-refused` if an address can never be bound, `bind-stopped` if it was stopped while it waited.
 */
export async function startGateway({settings: startSettings, output, codeCache = 'missing', stopSignal}: StartGatewayOptions): Promise<Either<BindError, Gateway>> {
	let settings = startSettings;
	let endsAtMs: number | undefined;
	const firstSequence = Date.now();
	const now = (): number => performance.now();
	const generator = xoroshiro128plus(randomInt(MAX_SEED));
	const random = (): number => uniformInt(generator, 0, MAX_SEED - 1) / MAX_SEED;
	const counters = new ServedCounters();
	const log = new DecisionLog({write: output.write, common: {instance: settings.instance}, wallClock: () => Date.now()});
	const {instance: id, failureDomain, region, listen: {callers, peers}} = settings;
	const self: InstanceRecord = {
		id, failureDomain, region, callers, peers, maxHeaders: new HeaderCount({headBytes: MAX_HEADER_BYTES}).max,
	};
	const viewParts = createView({
		store: settings.store,
		self,
		firstSequence,
		retries: () => settings.retries,
		counters,
		log,
		onRoutes({limits}) {
			listener.setTimeouts({headersTimeoutMs: limits.headerTimeoutMs, idleTimeoutMs: limits.idleTimeoutMs + IDLE_MARGIN_MS});
		},
		onSuspicion(record) {
			relay.receiveSuspicion(record);
		},
		onRateLimit(record) {
			rateLimitParts.receiveFromStore(record);
		},
		onServerLost(lost) {
			relay.forget(lost);
			rateLimitParts.forget(lost);
		},
		onStoreReturned() {
			rateLimitParts.restoreRecords();
		},
		onInstances() {
			rateLimitParts.updateInstances();
		},
		now,
		random,
	});
	const {view, feed} = viewParts;
	const rateLimitParts = createRateLimits({
		self: id,
		view,
		store: viewParts.store,
		mayBeCold: server => relay.contacts.isLost(server),
		onLimited({name}) {
			relay.recallUnsent(name);
		},
		counters,
		log,
		viewAgeMs: () => feed.ageMs,
		now,
	});
	const isReady = (): boolean => endsAtMs === undefined && view.routeSet !== undefined && (feed.hasCaughtUp || (feed.hasRead && feed.isFailing));
	const {sharing, claimAllowance} = viewParts;
	const relay = createRelay({
		settings: () => settings, view, sharing, firstSequence, rateLimitParts, claimAllowance, counters, log, viewAgeMs: () => feed.ageMs, endsAtMs: () => endsAtMs, now, random,
	});
	const listener: CallerListener = new CallerListener({
		counters,
		maxCalls: settings.limits.requests,
		limits: {headerBytes: MAX_HEADER_BYTES, ...LISTENER_TIMES},
		announceMs: settings.shutdownMs * ANNOUNCE_RATIO,
		refusalFormat: {idHeader: platformHeaders.requestId, encodeRetryAfter},
		route: async options => relay.handler.handle(options),
	});
	const failures = createFailureLog({counters, log, now});
	const readiness = new HttpListener({handle: createReadiness({isReady}), onFailure: failures('readiness')});
	const directory = new HttpListener({
		handle: createDirectory({
			view, self, isReady, maxTimeToLiveMs: settings.directoryMaxAgeMs, counters,
		}),
		onFailure: failures('directory'),
	});
	const handleChanges = createChangeListener({relay: viewParts.changeRelay});
	const handleSuspicions = createBroadcastListener({
		subject: 'suspicions', readRecord: readSuspicion, receive: async message => viewParts.suspicionBroadcast.receive(message), onMalformed({code, message}) {
			log.line('suspicion-refused', {reason: code, detail: message});
		},
	});
	const peerListeners = new Map([
		[broadcastPath('suspicions'), handleSuspicions],
		[broadcastPath('rate-limits'), rateLimitParts.handleRecords],
		[broadcastPath('server-warmups'), rateLimitParts.handleWarmups],
		[PERMITS_PATH, rateLimitParts.handlePermits],
	]);
	const peerListener = new HttpListener({
		async handle(request, response) {
			const {url = ''} = request;
			if (url.startsWith(`${FORWARDED_PATH}/`)) {
				await relay.handler.handleForwarded({request, response, path: url.slice(FORWARDED_PATH.length)});
				return;
			}

			const handle: HandleRequest = peerListeners.get(url) ?? handleChanges;
			await handle(request, response);
		},
		maxHeaderBytes: MAX_HEADER_BYTES,
		onFailure: failures('peers'),
	});
	const metrics = new HttpListener({
		async handle(_request, response) {
			const text = await counters.text();
			response.setHeader('content-type', counters.contentType);
			response.end(text);
		},
		onFailure: failures('metrics'),
	});
	counters.gauge({name: 'uptime_seconds', help: 'Time since the process started.', read: () => now() / MILLISECONDS_PER_SECOND});
	counters.gauge({name: 'requests_in_progress', help: 'Requests in progress.', read: () => relay.handler.inProgress});
	counters.gauge({name: 'view_age_seconds', help: 'Time since the store last answered.', read: () => feed.ageMs / MILLISECONDS_PER_SECOND});
	counters.gauge({name: 'log_lines_dropped', help: 'Log lines dropped because standard output was not read.', read: () => log.dropped});
	counters.gauges({
		name: 'retries_in_window', help: 'Sends to a further backend server in the window of the retry budget.', label: 'service', read: () => relay.retryBudgets.used(),
	});
	counters.gauges({
		name: 'retries_granted', help: 'Sends to a further backend server that claimed parts of the allowance still allow.', label: 'service', read: () => relay.retryBudgets.granted(),
	});
	counters.gauges({
		name: 'server_rate_limit', help: 'Rate limits that backend servers name, in requests per second.', label: 'server', read: () => rateLimitParts.listRates(),
	});
	const eventLoopMonitor = new EventLoopMonitor({counters, log});
	eventLoopMonitor.start();
	const binder = createBinder({counters, log, now});
	const close = async (): Promise<void> => {
		binder.stop();
		rateLimitParts.stop();
		await Promise.all([viewParts.stop(), relay.stop(), readiness.stop(), directory.stop(), peerListener.stop(), metrics.stop()]);
		eventLoopMonitor.stop();
	};

	stopSignal?.addEventListener('abort', () => {
		binder.stop();
	});
	const bindings = await Promise.all([
		binder.bind({server: listener.server, listener: 'callers', endpoint: callers}),
		binder.bind({server: readiness.server, listener: 'readiness', endpoint: settings.listen.readiness}),
		binder.bind({server: directory.server, listener: 'directory', endpoint: settings.listen.directory}),
		binder.bindOptional({server: metrics.server, listener: 'metrics', endpoint: settings.listen.metrics}),
		binder.bind({server: peerListener.server, listener: 'peers', endpoint: peers}),
	]);
	const unbound = Either.lefts(bindings);
	if (unbound.length > 0) {
		const failure = unbound.find(({code}) => code === 'bind-refused') ?? unbound[0]!;
		await listener.stop({timeoutMs: 0, inProgress: () => relay.handler.inProgress});
		await close();
		log.line('stopped', {reason: failure.code, detail: failure.message});
		output.flush();
		return Left(failure);
	}

	const [callersAt, readinessAt, directoryAt, metricsAt] = Either.rights(bindings) as [Endpoint, Endpoint, Endpoint, Endpoint, Endpoint];
	viewParts.start();
	log.line('started', {
		failureDomain, region, callers: `${callersAt.address}:${callersAt.port}`, codeCache,
	});
	const stop = async (shutdownMs: number): Promise<void> => {
		const timeoutMs = Math.max(0, shutdownMs - CLOSE_RESERVE_MS);
		endsAtMs = now() + timeoutMs;
		log.line('stopping', {inProgress: relay.handler.inProgress, timeoutMs});
		const left = viewParts.leave();
		const timer = setTimeout(() => {
			relay.handler.stop();
		}, timeoutMs);
		await listener.stop({timeoutMs, inProgress: () => relay.handler.inProgress});
		clearTimeout(timer);
		await left;
		await close();
		log.line('stopped', {});
		output.flush();
	};

	let stopped: Promise<void> | undefined;
	return Right({
		endpoints: {
			callers: callersAt, readiness: readinessAt, directory: directoryAt, metrics: metricsAt,
		},
		isReady,
		countRequests: () => relay.handler.inProgress,
		useSettings(changed) {
			settings = changed;
			log.line('settings-reloaded', {});
		},
		keepSettings({code, message}) {
			log.line('settings-refused', {reason: code, detail: message});
		},
		async stop({timeoutMs = settings.shutdownMs} = {}) {
			stopped ??= stop(timeoutMs);
			return stopped;
		},
	});
}
