/** A request whose servers, connections and permits are driven by a test, without sockets. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Dispatcher} from 'undici';
import {
	RelayedRequest, RelayRun, ServerUploads, UnsentAttempts,
} from '@pomelopick/calls.relay';
import type {Identity, RetryPermit, RunParts} from '@pomelopick/calls.relay';
import type {ReservedUpload, ReserveOptions} from '@pomelopick/calls.uploads';
import {ServedCounters} from '@pomelopick/core.telemetry';
import type {
	BackendServerName, Refusal, RegisteredServer, Repeatability, ServiceName,
} from '@pomelopick/core.types';
import type {ObjectPlacement} from '@pomelopick/steering.objects';
import {ObservationTable} from '@pomelopick/steering.servers';
import {createOrganisation, createRoute, createServer} from './records.js';

const SERVERS = 3;
const CONNECTIONS = 10;
const TIME_LEFT_MS = 4000;
/** Maximum size of a body in these tests, in bytes. */
const MAX_BODY_BYTES = 64;
const SETTLE_TURNS = 20;
const headerNames = {
	requestId: 'request-id',
	timeLeft: 'time-left',
	objectKey: 'object',
	answerStamp: 'stamp',
	expectedServer: 'expected',
	serverLoad: 'load',
	notRun: 'not-run',
	serverLeaving: 'leaving',
	retryAfter: 'retry-after',
	rateLimit: 'rate-limit',
	warmupLeft: 'warmup-left',
};

const organisation = createOrganisation('organisation', {keys: [], quota: {requestsPerSecond: 1, burst: 1}});

/** One request as it was handed to a connection. */
export interface ScriptedSend {
	readonly server: string;
	/** Whether its connection was ready, so that bytes of it were sent. */
	wasSent: boolean;
	/** Whether it was aborted by closing its connection. */
	isAborted: boolean;
	/** Lets its connection open; nothing is sent if it was aborted before. */
	connect(): Promise<void>;
	/** Lets its connection fail to open. */
	failToConnect(): void;
	/** Lets the server respond. */
	respond(options: {readonly status: number; readonly headers: Readonly<Record<string, string>>}): void;
	/** Ends its connection. */
	drop(): void;
}

/** Something that a run waits for. */
export interface Wait<T> {
	readonly promise: Promise<T>;
	readonly end: (value: T) => void;
}

/** Creates a {@link Wait}. */
export function createWait<T>(): Wait<T> {
	let end!: (value: T) => void;
	const promise = new Promise<T>(resolve => {
		end = resolve;
	});
	return {promise, end};
}

/** Parts of a run that a test replaces. */
export interface ScriptedParts {
	readonly repeatability: Repeatability;
	/** Time after which a read may be hedged, in milliseconds. */
	readonly targetLatencyMs?: number;
	/** Permit for a server with a rate limit, by the number of the send; granted at once by default. */
	readonly ratePermit?: (sends: number) => true | Promise<boolean>;
	/** Permit to send to a further server; granted at once by default. */
	readonly retryPermit?: () => Promise<RetryPermit>;
	/** Permit of the organisation's quota; without it, the request has no organisation. */
	readonly quotaPermit?: () => RetryPermit | Refusal | undefined | Promise<RetryPermit | Refusal | undefined>;
	/** Reserves the bytes of an upload; without it, the request is none. */
	readonly reserveUpload?: (options: ReserveOptions) => ReservedUpload | Promise<ReservedUpload>;
	/** Whether another instance forwarded the request. */
	readonly isForwarded?: boolean;
	/** Whether a server has crashed. */
	readonly crashCheck?: () => Promise<boolean>;
	readonly identity?: Identity | undefined;
	readonly isSuspect?: boolean;
	/** Why the request may no longer be sent; it may by default. */
	readonly identityRefusal?: () => Refusal | undefined;
	/** Whether a server that was chosen may still be used; always by default. */
	readonly isStillUsable?: (server: string) => boolean;
}

/** Permit that records nothing. */
export const retryPermit: RetryPermit = {end: ignore, giveBack: ignore};

/** Creates a run and the list of its sends, which grows. */
export function createScriptedRun(scripted: ScriptedParts) {
	const sends: ScriptedSend[] = [];
	const parts = createParts({scripted, sends});
	const request = new RelayedRequest({
		id: 'request-1',
		route: createRoute({
			repeatability: scripted.repeatability, timeoutMs: TIME_LEFT_MS, targetLatencyMs: scripted.targetLatencyMs ?? TIME_LEFT_MS, priority: 0, isUpload: scripted.reserveUpload !== undefined,
		}),
		service: 'ledger' as ServiceName,
		method: 'POST',
		path: '/x',
		headers: {},
		body: {
			start: new Uint8Array(), isComplete: scripted.reserveUpload === undefined, content: undefined, streamRefusal: () => undefined,
		},
		caller: '10.0.0.1',
		object: undefined,
		isForwarded: scripted.isForwarded ?? false,
		identity: scripted.quotaPermit ? {keyDigest: undefined, organisation} : scripted.identity,
		arrivedAtMs: performance.now(),
		answerByMs: performance.now() + TIME_LEFT_MS,
	});
	request.isSuspect = scripted.isSuspect ?? false;
	return {
		request, run: new RelayRun({request, parts}), sends, uploads: parts.uploads,
	};
}

/** Lets everything happen that waits for nothing but the event loop. */
export async function settle(): Promise<void> {
	for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
		await nextTurn();
	}
}

/** Ignores what a run reports. */
function ignore(): void {
	// Not observed.
}

function createParts({scripted, sends}: {readonly scripted: ScriptedParts; readonly sends: ScriptedSend[]}): RunParts {
	const servers = Array.from({length: SERVERS}, (_, index) => createServer(`server-${index}`, {address: '10.0.0.2', port: index + 1}));
	const format = {headers: headerNames, decodeServerLoad: () => undefined};
	const connections = {acquire: ({server}: {readonly server: RegisteredServer}) => Right(createLease({server: server.name, sends}))};
	const crashDetector = {
		begin: ignore, resolve: ignore, end: ignore, recordResponse: ignore, listServersWithSuspects: () => [], checkForCrash: async () => scripted.crashCheck?.() ?? false,
	};
	const placer = {
		place({avoid}: {readonly avoid: ReadonlySet<BackendServerName>}) {
			const server = servers.find(({name}) => !avoid.has(name));
			if (!server) {
				return Left({reason: 'no-backend-server', detail: 'none is left', retryAfterMs: 1});
			}

			return Right({
				known: {server}, isWarm: false, waitMs: 0, expectedMs: 1,
			});
		},
		recordAnswer: ignore,
		isStillUsable: ({known: {server}}: ObjectPlacement) => scripted.isStillUsable?.(server.name) ?? true,
	};
	const notices = {read: ignore};
	const rateLimitUse = {record: ignore};
	return {
		format: format as never,
		connections: connections as never,
		crashDetector: crashDetector as never,
		placer: placer as never,
		observations: new ObservationTable(),
		notices: notices as never,
		rateLimitUse: rateLimitUse as never,
		unsent: new UnsentAttempts(),
		uploads: new ServerUploads({reserve: scripted.reserveUpload ?? (() => Right({end: ignore})), maxBodyBytes: () => MAX_BODY_BYTES, now: () => performance.now()}),
		contactMonitor: {
			track: ignore, untrack: ignore, recordResponse: ignore, lose: ignore, checkAfterSuspect: async () => undefined,
		},
		connectionCheck: {check: () => undefined},
		isSuspect: () => false,
		identityRefusal: () => scripted.identityRefusal?.(),
		peerConnections: undefined as never,
		peerChoice: undefined as never,
		configurationVersion: () => 1,
		onAnswerHead: ignore,
		unreachableShare: () => 0,
		maxConnections: () => CONNECTIONS,
		counters: new ServedCounters(),
		statusOf: () => 'clear',
		takeQuota: async () => scripted.quotaPermit?.(),
		takeRetry: async () => scripted.retryPermit?.() ?? retryPermit,
		admission: {decisionFor: () => undefined, recordUnplaced: ignore, recordEnd: ignore},
		permits: {take: async () => scripted.ratePermit?.(sends.length) ?? true},
		viewAgeMs: () => 0,
		now: () => performance.now(),
	};
}

function createLease({server, sends}: {readonly server: string; readonly sends: ScriptedSend[]}) {
	let handler: Dispatcher.DispatchHandler;
	const opened = createWait<Either<Error, void>>();
	const controller = {
		abort() {
			send.isAborted = true;
		}, pause: ignore, resume: ignore,
	} as unknown as Dispatcher.DispatchController;
	const send: ScriptedSend = {
		server,
		wasSent: false,
		isAborted: false,
		async connect() {
			opened.end(Right(undefined));
			await settle();
		},
		failToConnect() {
			opened.end(Left(new Error('refused')));
		},
		respond({status, headers}) {
			handler.onResponseStart!(controller, status, {'content-length': '0', ...headers});
			handler.onResponseEnd!(controller, {});
		},
		drop() {
			handler.onResponseError!(controller, new Error('other side closed'));
		},
	};
	return {
		connection: {
			isOpen: false,
			async open() {
				sends.push(send);
				return opened.promise;
			},
			client: {
				dispatch(_options: unknown, dispatched: Dispatcher.DispatchHandler) {
					handler = dispatched;
					handler.onRequestStart!(controller, {});
					send.wasSent = !send.isAborted;
				},
			},
		}, release: ignore,
	};
}
