/** Wires the relay of requests: placing, limits, connections and the quarantine. */
import {BackendConnections} from '@pomelopick/calls.connections';
import type {LiveView, SuspicionRecord} from '@pomelopick/calls.live';
import {CrashDetector, Quarantine} from '@pomelopick/calls.quarantine';
import type {SuspicionSharing} from '@pomelopick/calls.quarantine';
import {
	CallerDisconnects, RelayHandler, RetryBudgets, ServerNotices, UnsentAttempts,
} from '@pomelopick/calls.relay';
import type {RelayServer, RetryBudgetsOptions} from '@pomelopick/calls.relay';
import type {GatewaySettings} from '@pomelopick/config.settings';
import {EventRecord} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {BackendServerName} from '@pomelopick/core.types';
import {
	decodeRetryAfter, decodeServerLeaving, decodeServerLoad, encodeRetryAfter, platformHeaders,
} from '@pomelopick/platform.wire';
import {WarmupShares} from '@pomelopick/steering.limits';
import {ObjectPlacer} from '@pomelopick/steering.objects';
import {LeavingServers, ObservationTable, RequestedPauses} from '@pomelopick/steering.servers';
import type {KnownServer} from '@pomelopick/steering.servers';

const EVENTS_KEPT = 512;
/** Connections that a server has for an instance at least. */
const LEAST_CONNECTIONS = 4;
/** Part of a server's connections that the instances use together; the rest is for what counts late. */
const CONNECTION_SHARE = 0.7;

/** Options of {@link createRelay}. */
export interface CreateRelayOptions {
	/** Settings in force. */
	readonly settings: () => GatewaySettings;
	readonly view: LiveView;
	readonly sharing: SuspicionSharing;
	/** Number before the first that this life of the instance gives to what it tells the others. */
	readonly firstSequence: number;
	/** Claims a part of a service's allowance of further sends. */
	readonly claimAllowance: RetryBudgetsOptions['claim'];
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Age of the view, in milliseconds. */
	readonly viewAgeMs: () => number;
	/** Monotonic time at which this instance ends, in milliseconds; undefined while it stays. */
	readonly endsAtMs: () => number | undefined;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** The parts that others use. */
export interface RelayParts {
	readonly handler: RelayHandler;
	readonly quarantine: Quarantine;
	readonly retryBudgets: RetryBudgets;
	/** Takes what an instance saw of requests that crash servers, earlier lives of this one included. */
	readonly hear: (record: SuspicionRecord) => void;
	/** Forgets what is known of a server's process. */
	readonly forget: (server: BackendServerName) => void;
	readonly stop: () => Promise<void>;
}

/** Creates the relay. */
export function createRelay(options: CreateRelayOptions): RelayParts {
	const {settings, view, sharing, firstSequence, claimAllowance, counters, log, viewAgeMs, endsAtMs, now, random} = options;
	const {instance, failureDomain, region, regions, limits} = settings();
	const observations = new ObservationTable();
	const leaving = new LeavingServers();
	const pauses = new RequestedPauses();
	const unsent = new UnsentAttempts();
	const format = {
		headers: platformHeaders, decodeServerLoad, decodeServerLeaving, decodeRetryAfter, encodeRetryAfter,
	};
	const warmups = new WarmupShares({self: instance});
	const warmupOf = ({server}: KnownServer) => ({
		server: server.name,
		requestsPerSecond: view.routeSet?.services.find(({name}) => name === server.service)?.warmupRequestsPerSecond ?? 0,
		instances: view.instances.list(),
		generation: view.instances.generation,
		viewAgeMs: viewAgeMs(),
		nowMs: now(),
	});
	const placer = new ObjectPlacer({
		servers: view.servers,
		observations,
		failureDomain,
		region,
		regions,
		mayWarm: ({known}) => warmups.mayTake(warmupOf(known)),
		closedUntilMs: ({server, nowMs}) => leaving.has(server) ? Number.POSITIVE_INFINITY : pauses.endMs({server, nowMs}),
		random,
	});
	const notices = new ServerNotices({
		format, servers: view.servers, leaving, pauses, unsent, counters, log, now,
	});
	const connections = new BackendConnections({
		now,
		probeIntervalMs: 0,
		mostPerServer: server => server.connections,
		onReplaced({server, connections: count}) {
			counters.add('connections.replaced', count);
			log.line('connections-replaced', {server, count});
		},
		onHealthAnswer({server: {name}, head}) {
			const known = view.servers.entryOf(name);
			if (known && head.headers[platformHeaders.answeringServer] === name) {
				notices.read({server: known.server, head});
			}
		},
	});
	const events = new EventRecord({
		capacity: EVENTS_KEPT, now: () => Date.now(), onAdd({kind, message, fields}) {
			log.line(kind, {detail: message, ...fields});
		},
	});
	const quarantine = new Quarantine({
		instance, firstSequence, sharing, counters, events, now,
	});
	const deathWatch = new CrashDetector<RelayServer>({
		isGone: async server => connections.isGone(server),
		reportCrash: async death => quarantine.reportCrash(death),
		now,
	});
	/** Instances that a server's connections are divided by: no fewer than there were at once, and one for each failure domain. */
	const countInstances = (): number => Math.max(view.instances.most, regions.size);
	const retryBudgets = new RetryBudgets({
		bounds: () => settings().retries, claim: claimAllowance, counters, log, clocks: () => ({monotonicMs: now(), wallClockMs: Date.now()}),
	});
	const handler = new RelayHandler({
		view,
		parts: {
			format,
			connections,
			deathWatch,
			placer,
			observations,
			notices,
			unsent,
			mostConnections({known}) {
				const most = view.routeSet?.services.find(({name}) => name === known.server.service)?.maxConnections ?? 0;
				return Math.max(LEAST_CONNECTIONS, Math.floor(most * CONNECTION_SHARE / countInstances()));
			},
			counters,
			standingOf: request => quarantine.isEmpty ? 'clear' : quarantine.statusOf(request.fingerprint()),
			takeRetry: async ({options: {service, answerByMs}}) => retryBudgets.take({service, answerByMs}),
			tryTakeWarmup: known => now() >= known.coldUntilMs || warmups.tryTake(warmupOf(known)),
			viewAgeMs,
			now,
		},
		departures: new CallerDisconnects(),
		quarantine,
		log,
		limits,
		noteRequest(service) {
			retryBudgets.recordRequest(service);
		},
		endsAtMs,
		random,
	});
	return {
		handler,
		quarantine,
		retryBudgets,
		hear(record) {
			if (quarantine.isOwn(record)) {
				return;
			}

			if (record.kind === 'cleared') {
				quarantine.receiveCleared(record.fingerprint);
				return;
			}

			const {origin, sequence, server, startedAtMs, fingerprints} = record;
			quarantine.receiveCrash({
				origin, sequence, server, startedAtMs, fingerprints, atMs: now(),
			});
		},
		forget(server) {
			placer.forget(server);
			observations.forget(server);
			warmups.forget(server);
		},
		async stop() {
			await connections.close();
		},
	};
}
