/** A fleet whose paths all lead through fault proxies. */
import type {Endpoint, Instance} from '@pomelopick/core.types';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {FaultProxy} from '@pomelopick/testing.fault-proxy';
import {startFleet} from '@pomelopick/testing.fleet';
import type {
	BackendProcess, Deployment, EntryProcess, Fleet, StartFleetOptions,
} from '@pomelopick/testing.fleet';
import type {Target} from './workload.js';

/** Proxies around one entry instance. */
export interface EntryPaths {
	/** From callers. */
	readonly callers: FaultProxy;
	/** From the other instances. */
	readonly peers: FaultProxy;
	/** To the store and the list of instances. */
	readonly store: FaultProxy;
}

/** Options of {@link startProxiedFleet}. */
export interface StartProxiedFleetOptions {
	readonly deployment: Deployment;
	readonly entries: number;
	readonly seed: number;
	readonly behaviour?: StartFleetOptions['behaviour'];
	readonly debug?: string;
}

/** A fleet and the proxies on its paths. */
export interface ProxiedFleet {
	readonly fleet: Fleet;
	/** Proxies around an entry instance. */
	pathsOf(entry: EntryProcess): EntryPaths;
	/** Proxy between all entry instances and a backend server. */
	pathOf(backend: BackendProcess): FaultProxy;
	/** Instances that callers know. */
	targets(): readonly Target[];
	stop(): Promise<void>;
}

/** Starts a fleet behind fault proxies. */
export async function startProxiedFleet({deployment, entries, seed, behaviour, debug}: StartProxiedFleetOptions): Promise<ProxiedFleet> {
	const storePaths = new Map<string, FaultProxy>();
	const peerPaths = new Map<string, FaultProxy>();
	const paths = new Map<string, EntryPaths>();
	const backendPaths = new Map<number, FaultProxy>();
	let started = 0;
	const startProxy = async (target: Endpoint): Promise<FaultProxy> => {
		started += 1;
		return startFaultProxy({target, seed: seed + started});
	};

	const fleet = await startFleet({
		deployment,
		entries,
		behaviour,
		debug,
		async adjustSettings(settings) {
			const proxy = await startProxy(settings.store);
			storePaths.set(settings.instance, proxy);
			// Instances tell each other where they listen, so this one must know of the proxy before it starts.
			const peers = await startProxy(settings.listen.peers);
			peerPaths.set(settings.instance, peers);
			return {
				...settings, store: proxy.endpoint, instanceList: proxy.endpoint, advertise: {peers: peers.endpoint},
			};
		},
		async adjustBackend(endpoint) {
			const proxy = await startProxy(endpoint);
			backendPaths.set(endpoint.port, proxy);
			return proxy.endpoint;
		},
		async adjustInstance(instance): Promise<Instance> {
			const around: EntryPaths = {callers: await startProxy(instance.callers), peers: peerPaths.get(instance.id)!, store: storePaths.get(instance.id)!};
			around.peers.retarget(instance.peers);
			paths.set(instance.id, around);
			return {...instance, callers: around.callers.endpoint, peers: around.peers.endpoint};
		},
	});
	return {
		fleet,
		pathsOf: ({instance}) => paths.get(instance.id)!,
		pathOf: ({endpoint}) => backendPaths.get(endpoint.port)!,
		targets: () => fleet.entries.map(({instance}) => ({instance: instance.id, endpoint: instance.callers})),
		async stop() {
			await fleet.stop();
			await Promise.all([...paths.values()].flatMap(({callers, peers, store}) => [callers.stop(), peers.stop(), store.stop()]));
			await Promise.all([...backendPaths.values()].map(async proxy => proxy.stop()));
		},
	};
}
