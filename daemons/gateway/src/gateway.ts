/** Starts and stops one gateway. */
import {randomInt} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {HeaderCount} from '@pomelopick/calls.listener';
import type {InstanceRecord} from '@pomelopick/calls.live';
import type {GatewaySettings, SettingsError} from '@pomelopick/config.settings';
import type {BindError} from '@pomelopick/core.listeners';
import {DecisionLog, EventLoopMonitor, ServedCounters} from '@pomelopick/core.telemetry';
import type {OutputWriter} from '@pomelopick/core.telemetry';
import type {CodeCacheUse} from './code-cache.js';
import {GatewayListeners, MAX_HEADER_BYTES} from './gateway-listeners.js';
import type {GatewayEndpoints} from './gateway-listeners.js';
import {createGatewayParts, stopParts} from './gateway-parts.js';
import type {GatewayContext, GatewayParts} from './gateway-parts.js';
import {registerGauges} from './metrics.js';

const MAX_SEED = 2_147_483_647;
/** Part of the shutdown time that is reserved for closing listeners and connections at its end, in milliseconds. */
const CLOSE_RESERVE_MS = 500;

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
	readonly endpoints: GatewayEndpoints;
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
	const context = createContext({output, settings: () => settings, endsAtMs: () => endsAtMs});
	const {log, now, self: {failureDomain, region}} = context;
	const parts = createGatewayParts({
		context, onRoutes({limits}) {
			listeners.useLimits(limits);
		},
	});
	const {viewParts, quotas, relay, loadSharing} = parts;
	const {view, feed} = viewParts;
	const isReady = (): boolean => endsAtMs === undefined && view.routeSet !== undefined && (feed.hasCaughtUp || (feed.hasRead && feed.isFailing));
	const listeners = new GatewayListeners({context, parts, isReady});
	const eventLoopMonitor = startMonitoring({context, parts});
	const close = async (): Promise<void> => {
		listeners.stopBinding();
		await Promise.all([stopParts(parts), listeners.stopOthers()]);
		eventLoopMonitor.stop();
	};

	stopSignal?.addEventListener('abort', () => {
		listeners.stopBinding();
	});
	const bound = await listeners.bind();
	if (bound.isLeft()) {
		const failure = bound.extract();
		await listeners.stopCallers(0);
		await close();
		log.line('stopped', {reason: failure.code, detail: failure.message});
		output.flush();
		return Left(failure);
	}

	const endpoints = bound.unsafeCoerce();
	viewParts.start();
	loadSharing.start();
	log.line('started', {
		failureDomain, region, callers: `${endpoints.callers.address}:${endpoints.callers.port}`, codeCache,
	});
	const stop = async (shutdownMs: number): Promise<void> => {
		const timeoutMs = Math.max(0, shutdownMs - CLOSE_RESERVE_MS);
		endsAtMs = now() + timeoutMs;
		log.line('stopping', {inProgress: relay.handler.inProgress, timeoutMs});
		const left = Promise.all([quotas.shards.release(), viewParts.leave()]);
		const timer = setTimeout(() => {
			relay.handler.stop();
		}, timeoutMs);
		await listeners.stopCallers(timeoutMs);
		clearTimeout(timer);
		await left;
		await close();
		log.line('stopped', {});
		output.flush();
	};

	let stopped: Promise<void> | undefined;
	return Right({
		endpoints,
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

/** Creates what all parts use, with the clocks and the randomness of this process. */
function createContext({output, settings, endsAtMs}: Pick<GatewayContext, 'settings' | 'endsAtMs'> & Pick<StartGatewayOptions, 'output'>): GatewayContext {
	const {instance: id, failureDomain, region, capacity, listen: {callers, peers}} = settings();
	const self: InstanceRecord = {
		id, failureDomain, region, callers, peers, maxHeaders: new HeaderCount({headBytes: MAX_HEADER_BYTES}).max, capacity,
	};
	const generator = xoroshiro128plus(randomInt(MAX_SEED));
	return {
		settings,
		self,
		firstSequence: Date.now(),
		counters: new ServedCounters(),
		log: new DecisionLog({write: output.write, common: {instance: id}, wallClock: () => Date.now()}),
		endsAtMs,
		now: () => performance.now(),
		random: () => uniformInt(generator, 0, MAX_SEED - 1) / MAX_SEED,
	};
}

/** Registers the gauges, and starts to watch the delays of the event loop. */
function startMonitoring({context: {counters, log, now}, parts}: {readonly context: GatewayContext; readonly parts: GatewayParts}): EventLoopMonitor {
	const {viewParts: {feed}, quotas, overload} = parts;
	registerGauges({
		...parts, counters, log, shards: quotas.shards, viewAgeMs: () => feed.ageMs, now,
	});
	const monitor = new EventLoopMonitor({
		counters, log, onReport(meanDelayMs) {
			overload.record(meanDelayMs);
		},
	});
	monitor.start();
	return monitor;
}
