/** The entry daemon: wires the library's parts to sockets. */
import {
	createServer,
} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {randomInt} from 'node:crypto';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {Agent} from 'undici';
import type {Endpoint} from '@pomelopick/core.types';
import {Counters, createLog, EventRecord} from '@pomelopick/core.telemetry';
import {CallHandler} from '@pomelopick/calls.forwarding';
import {createOwnedPlacement} from '@pomelopick/calls.placement';
import type {CreatePlacement} from '@pomelopick/calls.placement';
import {ConfigurationHolder, StoreWatcher} from '@pomelopick/config.distribution';
import type {Settings} from '@pomelopick/config.settings';
import {HelloService} from '@pomelopick/peer.protocol';
import {PeerClients, startPeerServer} from '@pomelopick/peer.transport';
import {ConsulInstanceList} from '@pomelopick/platform.instances';
import {ConsulStore} from '@pomelopick/platform.store';
import {LookupView} from './lookup-view.js';
import {answerLookup} from './lookup-handler.js';
import {answerOperator} from './operator-handler.js';

const MOST_SEED = 2_147_483_647;
const EVENTS_KEPT = 4096;
const CONNECTIONS_PER_SERVER = 32;
const SERVICE_PATH = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/u;

/** A running entry instance. */
export interface EntryDaemon {
	/** Where it listens, once ports are known. */
	readonly endpoints: {readonly callers: Endpoint; readonly peers: Endpoint; readonly operators: Endpoint};
	/** Stops gracefully: calls in flight finish first. */
	stop(): Promise<void>;
}

/** Options of {@link startEntry}. */
export interface StartEntryOptions {
	readonly settings: Settings;
	/** How calls are bound to backend servers; by slot owners when absent. */
	readonly createPlacement?: CreatePlacement;
}

/** Starts an entry instance. */
export async function startEntry({settings, createPlacement = createOwnedPlacement}: StartEntryOptions): Promise<EntryDaemon> {
	const log = createLog('entry');
	const now = (): number => performance.now();
	const counters = new Counters({target: settings.metrics, tags: {instance: settings.instance, failureDomain: settings.failureDomain}});
	const events = new EventRecord({capacity: EVENTS_KEPT, now: () => Date.now()});
	const store = new ConsulStore({endpoint: settings.store});
	const holder = new ConfigurationHolder();
	const watcher = new StoreWatcher({
		store, holder, now, onFailure(message) {
			counters.add('store.failure');
			events.add({kind: 'store', message});
		},
	});
	const lookup = new LookupView({
		instanceList: new ConsulInstanceList({endpoint: settings.instanceList}), onFailure(message) {
			events.add({kind: 'membership', message});
		},
	});
	const random = xoroshiro128plus(randomInt(MOST_SEED));
	const currentSet = () => holder.view?.configuration.set;
	const peerClients = new PeerClients();
	const placement = await createPlacement({
		instance: settings.instance,
		failureDomain: settings.failureDomain,
		currentSet,
		liveInstances: () => lookup.instances,
		peers: peerClients,
		store,
		draw: below => uniformInt(random, 0, below - 1),
		now,
		count(counter) {
			counters.add(counter);
		},
	});
	holder.onChange(({root, set}) => {
		lookup.useSet(set);
		placement.useSet(set);
		events.add({kind: 'configuration', message: 'version in force', fields: {version: root.version}});
	});
	const dispatcher = new Agent({connections: CONNECTIONS_PER_SERVER, pipelining: 1});
	const handler = new CallHandler({
		currentSet,
		findSite: address => lookup.findSite(address),
		placeCall: placement.placeCall,
		dispatcher,
		counters,
		events,
		log: createLog('call'),
		now,
	});

	const callers = createServer((request, response) => {
		void routeCaller({
			request, response, handler, lookup, holder, now,
		});
	});
	const operators = createServer((request, response) => {
		answerOperator({
			request, response, settings, holder, counters, events, lookup, now,
		});
	});
	const peers = await startPeerServer({
		endpoint: settings.listen.peers, register(router) {
			placement.register(router);
			router.service(HelloService, {
				hello: () => ({
					instance: settings.instance, failureDomain: settings.failureDomain, configurationVersion: BigInt(holder.view?.configuration.root.version ?? 0),
				}),
			});
		},
	});
	watcher.start();
	lookup.start();
	placement.start();
	await Promise.all([listen({server: callers, endpoint: settings.listen.callers}), listen({server: operators, endpoint: settings.listen.operators})]);
	log('instance %s listens on %o', settings.instance, callers.address());
	return {
		endpoints: {callers: endpointOf(callers), peers: peers.endpoint, operators: endpointOf(operators)},
		async stop() {
			log('instance %s stops; %d calls in flight', settings.instance, handler.inProgress);
			await closeServer({server: callers, timeoutMs: settings.shutdownTimeoutMs});
			lookup.stop();
			await placement.stop();
			await watcher.stop();
			await closeServer({server: operators, timeoutMs: settings.shutdownTimeoutMs});
			peerClients.close();
			await Promise.all([peers.stop(), dispatcher.destroy(), store.close(), counters.close()]);
			log('instance %s stopped', settings.instance);
		},
	};
}

interface RouteCallerOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly handler: CallHandler;
	readonly lookup: LookupView;
	readonly holder: ConfigurationHolder;
	readonly now: () => number;
}

async function routeCaller({request, response, handler, lookup, holder, now}: RouteCallerOptions): Promise<void> {
	const match = SERVICE_PATH.exec(request.url ?? '');
	if (match) {
		await handler.handle({
			request, response, serviceName: decodeURIComponent(match[1]!), path: `${match[2] ?? '/'}${match[3] ?? ''}`,
		});
		return;
	}

	answerLookup({
		request, response, lookup, view: holder.view, now,
	});
}

async function listen({server, endpoint}: {readonly server: Server; readonly endpoint: Endpoint}): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(endpoint.port, endpoint.address, resolve);
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

function endpointOf(server: Server): Endpoint {
	const {address, port} = server.address() as AddressInfo;
	return {address, port};
}
