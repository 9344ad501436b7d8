/** The entry daemon: creates the parts of an entry instance and connects them to its listeners. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {randomInt} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setImmediate as pause} from 'node:timers/promises';
import {Either, Left, Right} from 'purify-ts';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {BindError, ListenerFailure} from '@pomelopick/core.listeners';
import type {Endpoint, Instance} from '@pomelopick/core.types';
import {
	Counters, createLog, EventRecord, useLogNamespaces,
} from '@pomelopick/core.telemetry';
import {CallHandler} from '@pomelopick/calls.forwarding';
import {CallerListener} from '@pomelopick/calls.listener';
import {createOwnedPlacement} from '@pomelopick/calls.placement';
import type {CreatePlacement} from '@pomelopick/calls.placement';
import {registerQuarantine} from '@pomelopick/calls.quarantine';
import {ConfigurationHolder} from '@pomelopick/config.distribution';
import type {Settings} from '@pomelopick/config.settings';
import {HelloService} from '@pomelopick/peer.protocol';
import {createPeerServer, PeerClients} from '@pomelopick/peer.transport';
import {PlatformStore, ObservedStore} from '@pomelopick/platform.store';
import {refuseBadTarget, parseTarget} from './call-target.js';
import {createBinder} from './create-binder.js';
import {createCallSafety} from './call-safety.js';
import {startFleetView} from './fleet-view.js';
import {createKeyedCalls} from './keyed-calls.js';
import type {KeyedCalls} from './keyed-calls.js';
import {LookupView} from './lookup-view.js';
import {handleLookup} from './lookup-handler.js';
import {handleOperator} from './operator-handler.js';
import {handleOutcome, OUTCOME_PATH} from './outcome-handler.js';
import {listQuarantines} from './operators/list-quarantines.js';
import {DrainTimes} from './operators/drain-times.js';
import {PlacementCounts} from './operators/placement-counts.js';

const MAX_SEED = 2_147_483_647;
const EVENTS_KEPT = 4096;

/** A running entry instance. */
export interface EntryDaemon {
	/** Endpoints on which it listens, with the actual ports. */
	readonly endpoints: {readonly callers: Endpoint; readonly peers: Endpoint; readonly operators: Endpoint};
	/** Number of calls in progress. */
	readonly countCalls: () => number;
	/** Stops gracefully: first waits for calls in progress. */
	stop(): Promise<void>;
}

/** Options of {@link startEntry}. */
export interface StartEntryOptions {
	readonly settings: Settings;
	/** Creates the placement, which assigns calls to backend servers; by default the one in which slots are granted by their owner instances. */
	readonly createPlacement?: CreatePlacement;
	/** Called once when the first configuration version has become active, before the instance announces it to others. */
	readonly onFirstVersion?: () => void;
	/** Called once for each listener whose address is in use and waited for. */
	readonly onListenerWaits?: (failure: ListenerFailure) => void;
	/** Ends a start that waits for an address; an instance that has started is stopped by {@link EntryDaemon.stop}. */
	readonly stopSignal?: AbortSignal;
}

/**
 * Starts an entry instance. It joins the others once all its listeners stand; waits for addresses that are in use.
 *
 * @returns Left `bind-refused` if an address can never be bound, `bind-stopped` if it was stopped while it waited.
 */
export async function startEntry({settings, createPlacement = createOwnedPlacement, onFirstVersion, onListenerWaits, stopSignal}: StartEntryOptions): Promise<Either<BindError, EntryDaemon>> {
	useLogNamespaces(settings.logNamespaces);
	const log = createLog('entry');
	const now = (): number => performance.now();
	const counters = new Counters({target: settings.metrics, tags: {instance: settings.instance, failureDomain: settings.failureDomain}});
	const events = new EventRecord({capacity: EVENTS_KEPT, now: () => Date.now()});
	const store = new ObservedStore({store: new PlatformStore({endpoint: settings.store}), now});
	const holder = new ConfigurationHolder();
	const clients = new PeerClients({sourceAddress: settings.peerSourceAddress});
	const random = xoroshiro128plus(randomInt(MAX_SEED));
	const drawPart = (): number => uniformInt(random, 0, MAX_SEED - 1) / MAX_SEED;
	const fleet = startFleetView({
		settings, store, holder, clients, counters, events, now, drawPart, load: () => handler.inProgress / settings.limits.calls, prepare: async set => lookup.prepare(set),
	});
	const {membership, distribution} = fleet;
	const lookup = new LookupView({members: () => membership.members, pause});
	const currentSet = () => holder.view?.configuration.set;
	// Separate sessions for calls that wait for a slot: when another message times out, its session is closed with all calls on it.
	const slotClients = new PeerClients({sourceAddress: settings.peerSourceAddress});
	const placement = await createPlacement({
		instance: settings.instance,
		failureDomain: settings.failureDomain,
		currentSet,
		currentVersion: () => holder.view?.configuration.root.version ?? 0,
		liveInstances: () => membership.liveInstances(),
		peers: slotClients,
		store,
		draw: below => uniformInt(random, 0, below - 1),
		now,
		count(counter) {
			counters.add(counter);
		},
		onAbort({shift, detail}) {
			events.add({kind: 'shift', message: 'shift aborted', fields: {shift, detail}});
		},
	});
	const drainTimes: DrainTimes = new DrainTimes({
		now, inProgress: () => placementCounts.inProgress, onEmpty({drain, timing}) {
			events.add({kind: 'drain', message: 'this instance has no calls in progress at the drained servers', fields: {drain, ...timing}});
		},
	});
	const placementCounts = new PlacementCounts({
		onPlaced(server) {
			drainTimes.recordPlaced(server);
		},
		onEnded(server) {
			drainTimes.recordEnded(server);
		},
	});
	let isFirstVersion = true;
	holder.onChange(({set}) => {
		lookup.useSet(set);
		placement.useSet(set);
		drainTimes.useSet(set);
		if (isFirstVersion) {
			isFirstVersion = false;
			onFirstVersion?.();
		}
	});
	const safety = createCallSafety({
		settings, counters, events, now, listInstances: () => membership.liveInstances(),
	});
	const keyedCalls = createKeyedCalls({
		settings, clients, counters, liveInstances: () => membership.liveInstances(), now,
	});
	const handler: CallHandler = new CallHandler({
		currentSet,
		findSite: address => lookup.findSite(address),
		placeCall: placementCounts.around(placement.placeCall),
		connections: safety.connections,
		quarantine: safety.quarantine,
		crashDetector: safety.crashDetector,
		limits: settings.limits,
		isLeaving: () => callers.isRefusing,
		counters,
		events,
		log: createLog('call'),
		now,
		keyGuard: keyedCalls.guard,
	});

	const callers: CallerListener = new CallerListener({
		counters,
		maxCalls: settings.limits.calls,
		rejectsBareLineFeeds: true,
		route: async ({request, response}) => routeCaller({
			request, response, handler, lookup, holder, counters, now, keyedCalls,
		}),
	});
	const operators = createServer((request, response) => {
		handleOperator({
			request,
			response,
			settings,
			holder,
			counters,
			events,
			lookup,
			sources: {
				listCallsInProgress: () => placementCounts.inProgress,
				listCallsPlaced: () => placementCounts.placed,
				readSlots: placement.snapshot,
				listShiftUse: placement.listShiftUse,
				drainTiming: name => drainTimes.timing(name),
				listQuarantines: () => listQuarantines({table: safety.quarantine.table, nowMs: now()}),
				storeState: () => store.report,
			},
			callsInProgress: () => handler.inProgress,
			isWatcher: () => distribution.isWatcher,
			now,
		});
	});
	const peers = createPeerServer({
		register(router) {
			router.service(HelloService, {
				hello: () => ({
					instance: settings.instance, failureDomain: settings.failureDomain, configurationVersion: BigInt(holder.view?.configuration.root.version ?? 0),
				}),
			});
			membership.register(router);
			distribution.register(router);
			keyedCalls.register(router);
			placement.register(router);
			registerQuarantine({router, quarantine: safety.quarantine, now});
		},
	});
	const close = async (): Promise<void> => {
		clients.close();
		slotClients.close();
		await Promise.all([peers.stop(), fleet.stop(), safety.stop(), store.close(), counters.close()]);
	};

	const binder = createBinder({counters, events, onWaits: onListenerWaits});
	stopSignal?.addEventListener('abort', () => {
		binder.stop();
	});
	const bindings = await Promise.all([
		binder.bind({server: callers.server, listener: 'callers', endpoint: settings.listen.callers}),
		binder.bind({server: peers.server, listener: 'peers', endpoint: settings.listen.peers}),
		binder.bind({server: operators, listener: 'operators', endpoint: settings.listen.operators}),
	]);
	const failures = Either.lefts(bindings);
	if (failures.length > 0) {
		await callers.stop({timeoutMs: 0, inProgress: () => handler.inProgress});
		await closeServer({server: operators, timeoutMs: 0});
		await placement.stop();
		await close();
		return Left(failures.find(({code}) => code === 'bind-refused') ?? failures[0]!);
	}

	const [callersAt, peersAt, operatorsAt] = Either.rights(bindings) as [Endpoint, Endpoint, Endpoint];
	const endpoints = {callers: callersAt, peers: peersAt, operators: operatorsAt};
	const self: Instance = {
		id: settings.instance, failureDomain: settings.failureDomain, state: 'live', ...endpoints, ...settings.advertise,
	};
	membership.start(self);
	distribution.start();
	placement.start();
	safety.start();
	log('instance %s is listening on %o', settings.instance, callers.server.address());
	return Right({
		endpoints,
		countCalls: () => handler.inProgress,
		async stop() {
			log('instance %s is stopping; %d calls in progress', settings.instance, handler.inProgress);
			membership.leave();
			await callers.stop({timeoutMs: settings.shutdownTimeoutMs, inProgress: () => handler.inProgress});
			await keyedCalls.stop();
			await placement.stop();
			membership.stop();
			await distribution.stop();
			await closeServer({server: operators, timeoutMs: settings.shutdownTimeoutMs});
			await close();
			log('instance %s stopped', settings.instance);
		},
	});
}

interface RouteCallerOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly handler: CallHandler;
	readonly lookup: LookupView;
	readonly holder: ConfigurationHolder;
	readonly counters: Counters;
	readonly now: () => number;
	readonly keyedCalls: KeyedCalls;
}

async function routeCaller({request, response, handler, lookup, holder, counters, now, keyedCalls}: RouteCallerOptions): Promise<void> {
	const target = parseTarget(request.url ?? '');
	if (target.kind === 'malformed') {
		refuseBadTarget({request, response, counters});
		return;
	}

	if (target.kind === 'call') {
		await handler.handle({
			request, response, serviceName: target.serviceName, path: target.path,
		});
		return;
	}

	if (OUTCOME_PATH.test(request.url ?? '')) {
		await handleOutcome({request, response, keyGuard: keyedCalls.guard});
		return;
	}

	handleLookup({
		request, response, lookup, view: holder.view, counters, now,
	});
}

async function closeServer({server, timeoutMs}: {readonly server: Server; readonly timeoutMs: number}): Promise<void> {
	const timer = setTimeout(() => {
		server.closeAllConnections();
	}, timeoutMs);
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeIdleConnections();
	});
	clearTimeout(timer);
}
