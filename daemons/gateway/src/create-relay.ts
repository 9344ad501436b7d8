/** Creates the relay of requests and wires its parts: placement, limits, connections and the quarantine. */
import {setTimeout as startTimeout} from 'node:timers/promises';
import {CallerDisconnects} from '@pomelopick/calls.forwarding';
import {BackendConnections} from '@pomelopick/calls.connections';
import type {LiveView, LostServer} from '@pomelopick/calls.live';
import type {Quarantine, SuspectStatus, SuspicionSharing} from '@pomelopick/calls.quarantine';
import {
	ContactMonitor, PeerChoice, RelayHandler, RetryBudgets, ServerNotices, UnsentAttempts,
} from '@pomelopick/calls.relay';
import type {RelayedRequest, RelayServer, RetryBudgetsOptions} from '@pomelopick/calls.relay';
import type {GatewaySettings} from '@pomelopick/config.settings';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {BackendServerName} from '@pomelopick/core.types';
import {
	decodeRateLimit, decodeRetryAfter, decodeServerLeaving, decodeServerLoad, decodeWarmupLeft, encodeRetryAfter, platformHeaders,
} from '@pomelopick/platform.wire';
import {ObjectPlacer} from '@pomelopick/steering.objects';
import {
	LeavingServers, ObservationTable, RequestedPauses, ServerContacts,
} from '@pomelopick/steering.servers';
import type {KnownServer} from '@pomelopick/steering.servers';
import {createCrashDetection} from './create-crash-detection.js';
import type {CrashDetectionParts} from './create-crash-detection.js';
import type {RateLimitParts} from './create-rate-limits.js';

const SERVICE_UNAVAILABLE = 503;
/** Timeout for connecting to another instance, in milliseconds. */
const PEER_CONNECT_TIMEOUT_MS = 300;
/** Minimum number of connections that this instance may open to a server. */
const MIN_CONNECTIONS = 4;
/** Share of a server's connections that all instances together use; the rest is a reserve for connections that the server counts late. */
const CONNECTION_SHARE = 0.7;

/** Options of {@link createRelay}. */
export interface CreateRelayOptions {
	/** Current settings. */
	readonly settings: () => GatewaySettings;
	readonly view: LiveView;
	readonly sharing: SuspicionSharing;
	/** Sequence number before the first one that this run of the instance assigns to its records for other instances. */
	readonly firstSequence: number;
	/** Rate limits of servers, for all instances together. */
	readonly rateLimitParts: Pick<RateLimitParts, 'rateLimits' | 'sharing' | 'warmupSharing' | 'permits' | 'use'>;
	/** Claims a part of a service's retry allowance, which all instances share. */
	readonly claimAllowance: RetryBudgetsOptions['claim'];
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Age of the view, in milliseconds. */
	readonly viewAgeMs: () => number;
	/** Monotonic time at which this instance stops, in milliseconds; undefined until it is asked to stop. */
	readonly endsAtMs: () => number | undefined;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** The relay, and those of its parts that are used from outside. */
export interface RelayParts {
	readonly handler: RelayHandler;
	readonly quarantine: Quarantine;
	readonly retryBudgets: RetryBudgets;
	readonly contacts: ServerContacts;
	/** Aborts the attempts at a server of which nothing was sent, since the server was found to have a rate limit. */
	readonly recallUnsent: (server: BackendServerName) => void;
	readonly receiveSuspicion: CrashDetectionParts['receiveSuspicion'];
	/** Discards all state about a server's process that has ended or is no longer registered. */
	readonly forget: (lost: LostServer) => void;
	readonly stop: () => Promise<void>;
}

/** Creates the relay. */
export function createRelay(options: CreateRelayOptions): RelayParts {
	const {settings, view, sharing, firstSequence, rateLimitParts, claimAllowance, counters, log, viewAgeMs, endsAtMs, now, random} = options;
	const {instance, failureDomain, region, regions, limits} = settings();
	const observations = new ObservationTable();
	const leaving = new LeavingServers();
	const pauses = new RequestedPauses();
	const contacts = new ServerContacts();
	const {rateLimits, permits} = rateLimitParts;
	const unsent = new UnsentAttempts();
	const format = {
		headers: platformHeaders, decodeServerLoad, decodeServerLeaving, decodeRetryAfter, decodeRateLimit, decodeWarmupLeft, encodeRetryAfter,
	};
	const placer = new ObjectPlacer({
		servers: view.servers,
		observations,
		failureDomain,
		region,
		regions,
		mayTakeRate: options => permits.mayTake(options),
		rateClosedUntilMs: known => permits.closedUntilMs(known),
		unavailableUntilMs: ({server, nowMs}) => leaving.has(server) ? Number.POSITIVE_INFINITY : pauses.endMs({server, nowMs}),
		isUnreachable: server => contacts.isUnreachable(server),
		random,
	});
	const notices = new ServerNotices({
		format,
		servers: view.servers,
		leaving,
		pauses,
		hasRateLimit: server => rateLimits.requestsPerSecond(server) !== undefined,
		hearRateLimit(heard) {
			rateLimitParts.sharing.hear(heard);
		},
		hearWarmup(warmup) {
			rateLimitParts.warmupSharing.hear(warmup);
		},
		unsent,
		counters,
		log,
		now,
		wallClockMs: () => Date.now(),
	});
	const connections = new BackendConnections({
		now,
		probeIntervalMs: 0,
		maxPerServer: server => server.connections,
		onReplaced({server, connections: count}) {
			counters.add('connections.replaced', count);
			log.line('connections-replaced', {server, count});
		},
		onHealthAnswer({server: {name}, head, sentAtMs}) {
			const known = view.servers.findEntry(name);
			const statedName = head.headers[platformHeaders.answeringServer];
			// A server that rejects a health check may leave its name out.
			const respondingName = statedName ?? (head.status === SERVICE_UNAVAILABLE ? name : undefined);
			if (!known || respondingName !== name) {
				return;
			}

			notices.read({server: known.server, head});
			if (statedName === name && contacts.confirm({server: known.server, sinceMs: sentAtMs})) {
				counters.add('contact.confirmed');
				log.line('contact-confirmed', {subject: name, detail: 'it answered a health check', startedAtMs: known.server.startedAtMs});
			}
		},
		onIdleReset({name, address, port}) {
			const known = view.servers.findEntry(name);
			if (known?.server.address === address && known.server.port === port) {
				contactMonitor.lose({server: toRelayServer(known), detail: 'an idle connection was reset'});
			}
		},
	});
	const peerConnections = new BackendConnections({
		now,
		probeIntervalMs: 0,
		connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
		maxPerServer: peer => peer.connections,
		onReplaced() {/* These connections are not probed. */},
	});
	const maxConnections = ({server: {service}}: KnownServer): number => {
		const max = view.routeSet?.services.find(({name}) => name === service)?.maxConnections ?? 0;
		return Math.max(MIN_CONNECTIONS, Math.floor(max * CONNECTION_SHARE / countInstances()));
	};

	const toRelayServer = (known: KnownServer): RelayServer => ({...known.server, connections: maxConnections(known)});
	const contactMonitor = new ContactMonitor({
		contacts,
		checkHealth: async server => connections.checkHealth(server),
		listServers: service => view.servers.listUsable(service).map(known => toRelayServer(known)),
		isRegistered: ({name, startedAtMs}) => view.servers.findEntry(name)?.server.startedAtMs === startedAtMs && view.servers.findEntry(name) !== undefined,
		unsent,
		onUnreachable(options) {
			reportUnreachable(options);
		},
		counters,
		log,
		sleep: async milliseconds => startTimeout(milliseconds, undefined, {ref: false}),
		now,
	});
	const {quarantine, crashDetector, receiveSuspicion, reportLost, reportUnreachable} = createCrashDetection({
		instance, firstSequence, sharing, connections, leaving, counters, log, now,
	});
	/** Number of instances among which a server's connections are divided: the maximum seen at the same time, and at least one for each failure domain (the keys of `regions`). */
	const countInstances = (): number => Math.max(view.instances.maxCount, regions.size);
	const retryBudgets = new RetryBudgets({
		bounds: () => settings().retries, claim: claimAllowance, counters, log, clocks: () => ({monotonicMs: now(), wallClockMs: Date.now()}),
	});
	const statusOf = (request: RelayedRequest): SuspectStatus => quarantine.isEmpty ? 'clear' : quarantine.statusOf(request.fingerprint());
	const handler = new RelayHandler({
		view,
		parts: {
			format,
			connections,
			crashDetector,
			placer,
			observations,
			notices,
			rateLimitUse: rateLimitParts.use,
			unsent,
			contactMonitor,
			peerConnections,
			peerChoice: new PeerChoice({
				self: instance, region, instances: () => view.instances.list(), random,
			}),
			configurationVersion: () => view.routeSet?.version ?? 0,
			onAnswerHead({server, head, request}) {
				const known = view.servers.findEntry(server);
				if (known) {
					notices.read({server: known.server, head, request});
				}
			},
			unreachableShare({options: {service, route: {homeRegions}}}) {
				const servers = view.servers.listUsable(service).filter(({server}) => homeRegions.length === 0 || homeRegions.includes(regions.get(server.failureDomain) ?? region));
				return servers.filter(({server}) => contacts.isUnreachable(server)).length / Math.max(1, servers.length);
			},
			maxConnections: ({known}) => maxConnections(known),
			counters,
			statusOf,
			isSuspect: request => statusOf(request) !== 'clear',
			takeRetry: async ({options: {service, answerByMs}}) => retryBudgets.take({service, answerByMs}),
			permits,
			viewAgeMs,
			now,
		},
		callerDisconnects: new CallerDisconnects(),
		quarantine,
		log,
		limits,
		recordRequest(service) {
			retryBudgets.recordRequest(service);
		},
		endsAtMs,
		random,
	});
	return {
		handler,
		quarantine,
		retryBudgets,
		contacts,
		recallUnsent(server) {
			const recalled = unsent.recall({server, reason: 'backend-rate-limited', detail: 'the server named a rate limit'});
			counters.add('server-notice.recalled', recalled);
		},
		receiveSuspicion,
		forget(lost) {
			const {name} = lost.server;
			void reportLost(lost);
			placer.forget(name);
			observations.forget(name);
			contacts.forget(name);
		},
		async stop() {
			contactMonitor.stop();
			await Promise.all([connections.close(), peerConnections.close()]);
		},
	};
}
