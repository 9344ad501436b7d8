/** Many instances' control parts in one process, over real sockets: membership and distribution without callers. */
import {performance} from 'node:perf_hooks';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {Counters, EventRecord} from '@pomelopick/core.telemetry';
import type {
	Endpoint, FailureDomainName, Instance, InstanceId,
} from '@pomelopick/core.types';
import {ConfigurationHolder} from '@pomelopick/config.distribution';
import {parseSettings} from '@pomelopick/config.settings';
import {startFleetView} from '@pomelopick/daemons.entry';
import type {FleetView} from '@pomelopick/daemons.entry';
import {PeerClients, startPeerServer} from '@pomelopick/peer.transport';
import type {PeerCaller, PeerServer} from '@pomelopick/peer.transport';
import {PlatformStore} from '@pomelopick/platform.store';

const LOOPBACK = '127.0.0.1';
const EVENTS_KEPT = 4096;
const MOST_DRAW = 2_147_483_647;

/** Options of {@link startControlNode}. */
export interface StartControlNodeOptions {
	readonly id: string;
	readonly failureDomain: string;
	/** Key-value service and instance list. */
	readonly platform: Endpoint;
	readonly seed: number;
	/** Key-value service as this node reaches it; the platform when absent. */
	readonly store?: Endpoint;
	readonly seeds?: readonly Endpoint[];
	/** Where a call to an endpoint is sent, for example to a fault proxy. */
	readonly route?: (endpoint: Endpoint) => Endpoint;
	/** Part of the call limit in use, from 0 to 1. */
	readonly load?: () => number;
}

/** The control parts of one instance. */
export interface ControlNode {
	readonly instance: Instance;
	readonly holder: ConfigurationHolder;
	readonly fleetView: FleetView;
	readonly peers: PeerServer;
	readonly events: EventRecord;
	readonly counters: Counters;
	/** Says that the instance leaves and stops it. */
	stop(): Promise<void>;
	/** Stops without a word to the others. */
	kill(): Promise<void>;
}

/** Starts the control parts of one instance. */
export async function startControlNode(options: StartControlNodeOptions): Promise<ControlNode> {
	const {id, failureDomain, platform, seed} = options;
	const any = {address: LOOPBACK, port: 0};
	const settings = parseSettings({
		instance: id, failureDomain, listen: {callers: any, peers: any, operators: any}, store: options.store ?? platform, instanceList: platform, seeds: options.seeds,
	}).unsafeCoerce();
	const random = xoroshiro128plus(seed);
	const holder = new ConfigurationHolder();
	const clients = new PeerClients();
	const store = new PlatformStore({endpoint: settings.store});
	const events = new EventRecord({capacity: EVENTS_KEPT, now: () => Date.now()});
	const counters = new Counters({tags: {}});
	const fleetView = startFleetView({
		settings, store, holder, counters, events,
		clients: routeCalls({clients, route: options.route}),
		now: () => performance.now(),
		drawPart: () => uniformInt(random, 0, MOST_DRAW - 1) / MOST_DRAW,
		load: options.load ?? (() => 0),
		prepare: async () => undefined,
	});
	const peers = await startPeerServer({
		endpoint: any, register(router) {
			fleetView.membership.register(router);
			fleetView.distribution.register(router);
		},
	});
	const instance: Instance = {
		id: id as InstanceId, failureDomain: failureDomain as FailureDomainName, state: 'live', callers: peers.endpoint, peers: peers.endpoint, operators: peers.endpoint,
	};
	fleetView.membership.start(instance);
	fleetView.distribution.start();
	const kill = async (): Promise<void> => {
		fleetView.membership.stop();
		clients.close();
		await Promise.all([peers.stop(), fleetView.distribution.stop(), fleetView.stop(), store.close()]);
	};

	return {
		instance,
		holder,
		fleetView,
		peers,
		events,
		counters,
		kill,
		async stop() {
			fleetView.membership.leave();
			await kill();
		},
	};
}

function routeCalls({clients, route}: {readonly clients: PeerClients; readonly route: ((endpoint: Endpoint) => Endpoint) | undefined}): PeerCaller {
	return route ? {call: options => clients.call({...options, endpoint: route(options.endpoint)})} : clients;
}
