/** Creates the relay of requests and wires its parts: placement, limits, connections and the quarantine. */
import {CallerDisconnects} from '@pomelopick/calls.forwarding';
import {BackendConnections} from '@pomelopick/calls.connections';
import type {LiveView, LostServer} from '@pomelopick/calls.live';
import type {Quarantine, SuspectStatus, SuspicionSharing} from '@pomelopick/calls.quarantine';
import {
	findIdentityRefusal, PeerChoice, RelayHandler, RequestAdmission, RetryBudgets, ServerUploads, UnsentAttempts,
} from '@pomelopick/calls.relay';
import type {RelayedRequest, RetryBudgetsOptions} from '@pomelopick/calls.relay';
import type {GatewaySettings} from '@pomelopick/config.settings';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {BackendServerName, ServiceName} from '@pomelopick/core.types';
import {
	CREDENTIALS_CHALLENGE, decodeRateLimit, decodeRetryAfter, decodeServerLeaving, decodeServerLoad, decodeWarmupLeft, encodeRetryAfter, platformHeaders,
} from '@pomelopick/platform.wire';
import {AdmissionTable, DeadlineCheck} from '@pomelopick/steering.admission';
import type {ObjectPlacer} from '@pomelopick/steering.objects';
import {
	LeavingServers, ObservationTable, RequestedPauses, ServerContacts,
} from '@pomelopick/steering.servers';
import type {ViewConfirmation} from '@pomelopick/steering.servers';
import {createCrashDetection} from './create-crash-detection.js';
import type {CrashDetectionParts} from './create-crash-detection.js';
import {createPlacer} from './create-placer.js';
import type {QuotaParts} from './create-quotas.js';
import type {RateLimitParts} from './create-rate-limits.js';
import {createServerContact} from './create-server-contact.js';
import {createServerNotices} from './create-server-notices.js';
import type {UploadParts} from './create-uploads.js';

/** Timeout for connecting to another instance, in milliseconds. */
const PEER_CONNECT_TIMEOUT_MS = 300;

/** Options of {@link createRelay}. */
export interface CreateRelayOptions {
	/** Current settings. */
	readonly settings: () => GatewaySettings;
	/** Maximum number of requests in progress for now. */
	readonly requestLimit: () => number;
	readonly view: LiveView;
	readonly sharing: SuspicionSharing;
	/** Sequence number before the first one that this run of the instance assigns to its records for other instances. */
	readonly firstSequence: number;
	/** Rate limits of servers, for all instances together. */
	readonly rateLimitParts: Pick<RateLimitParts, 'rateLimits' | 'sharing' | 'warmupSharing' | 'permits' | 'use'>;
	/** Quotas of organisations, for all instances together. */
	readonly quotas: Pick<QuotaParts, 'take'>;
	/** Reserves the bytes of an upload for all instances together. */
	readonly reserveUpload: UploadParts['reserve'];
	/** Claims a part of a service's retry allowance, which all instances share. */
	readonly claimAllowance: RetryBudgetsOptions['claim'];
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** How well the store confirms the view. */
	readonly confirmation: () => ViewConfirmation;
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
	readonly uploads: Pick<ServerUploads, 'count' | 'recordSuspension'>;
	readonly quarantine: Quarantine;
	readonly retryBudgets: RetryBudgets;
	readonly contacts: ServerContacts;
	readonly observations: ObservationTable;
	/** Admission state of the services whose requests have organisations. */
	readonly admissions: AdmissionTable;
	readonly placer: ObjectPlacer;
	/** Aborts the attempts at a server of which nothing was sent, since the server was found to have a rate limit or to warm up. */
	readonly recallUnsent: (options: {readonly server: BackendServerName; readonly detail: string}) => void;
	readonly receiveSuspicion: CrashDetectionParts['receiveSuspicion'];
	/** Discards all state about a server's process that has ended or is no longer registered. */
	readonly forget: (lost: LostServer) => void;
	readonly stop: () => Promise<void>;
}

/** Creates the relay. */
export function createRelay(options: CreateRelayOptions): RelayParts {
	const {settings, requestLimit, view, sharing, firstSequence, rateLimitParts, quotas, reserveUpload, claimAllowance, counters, log, confirmation, endsAtMs, now, random} = options;
	const {instance, failureDomain, region, regions, limits} = settings();
	const observations = new ObservationTable();
	const leaving = new LeavingServers();
	const pauses = new RequestedPauses();
	const contacts = new ServerContacts();
	const {permits} = rateLimitParts;
	const unsent = new UnsentAttempts();
	const format = {
		headers: platformHeaders, decodeServerLoad, decodeServerLeaving, decodeRetryAfter, decodeRateLimit, decodeWarmupLeft, encodeRetryAfter, credentialsChallenge: CREDENTIALS_CHALLENGE,
	};
	const placer = createPlacer({
		location: {failureDomain, region, regions}, view, observations, leaving, pauses, contacts, permits, counters, log, random,
	});
	const {notices, readHealthAnswer} = createServerNotices({
		format, servers: view.servers, leaving, pauses, unsent, observations, contacts, rateLimitParts, counters, log, now,
	});
	const {connections, contactMonitor, connectionCheck, maxConnections} = createServerContact({
		view,
		confirmation,
		regions,
		contacts,
		unsent,
		permits,
		readHealthAnswer,
		onUnreachable(options) {
			reportUnreachable(options);
		},
		counters,
		log,
		now,
	});
	const peerConnections = new BackendConnections({
		now,
		probeIntervalMs: 0,
		connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
		maxPerServer: peer => peer.connections,
		onReplaced() {/* These connections are not probed. */},
	});
	const {quarantine, crashDetector, receiveSuspicion, reportLost, reportUnreachable} = createCrashDetection({
		instance, firstSequence, sharing, connections, leaving, counters, log, now,
	});
	const retryBudgets = new RetryBudgets({
		bounds: () => settings().retries, claim: claimAllowance, counters, log, clocks: () => ({monotonicMs: now(), wallClockMs: Date.now()}),
	});
	const uploads = new ServerUploads({reserve: reserveUpload, maxBodyBytes: () => view.routeSet?.limits.bodyBytes ?? 0, now});
	const statusOf = (request: RelayedRequest): SuspectStatus => quarantine.isEmpty ? 'clear' : quarantine.statusOf(request.fingerprint());
	const admissions = new AdmissionTable();
	const admission = new RequestAdmission({
		admissions, deadlines: new DeadlineCheck(), reportsWorkFactor: service => placer.reportsWorkFactor(service), now, random,
	});
	const handler = new RelayHandler({
		view,
		parts: {
			format,
			connections,
			crashDetector,
			placer,
			admission,
			observations,
			notices,
			rateLimitUse: rateLimitParts.use,
			unsent,
			uploads,
			contactMonitor,
			connectionCheck,
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
			identityRefusal: ({options: {identity, route}}) => findIdentityRefusal({identity, route, organisations: view.organisations}),
			takeQuota: async organisation => quotas.take(organisation),
			takeRetry: async ({options: {service, answerByMs}}) => retryBudgets.take({service, answerByMs}),
			permits,
			viewAgeMs: () => confirmation().ageMs,
			now,
		},
		callerDisconnects: new CallerDisconnects(),
		quarantine,
		log,
		limits,
		requestLimit,
		recordRequest(service) {
			retryBudgets.recordRequest(service);
		},
		endsAtMs,
		random,
	});
	return {
		handler,
		uploads,
		quarantine,
		retryBudgets,
		contacts,
		observations,
		admissions,
		placer,
		recallUnsent(options) {
			const recalled = unsent.recall({...options, reason: 'backend-rate-limited'});
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
