/** Limits the servers that an instance connects to, so that no server gets more connections than it accepts. */
import xxhash from 'xxhash-wasm';
import type {PlaceCall} from '@pomelopick/calls.forwarding';
import type {
	BackendServer, BackendServerName, ConfigurationSet, Instance, InstanceId, ServiceName,
} from '@pomelopick/core.types';
import {chooseSubset, MIN_CONNECTIONS, subsetSize} from '@pomelopick/steering.subsets';

const {h32} = await xxhash();

/** Options of {@link ServerSubsets}. */
export interface ServerSubsetsOptions {
	readonly instance: InstanceId;
	readonly liveInstances: () => readonly Instance[];
	readonly currentSet: () => ConfigurationSet | undefined;
}

/** Finds the servers that this instance does not connect to; none while all instances may connect to all servers. */
export class ServerSubsets {
	readonly #options: ServerSubsetsOptions;
	readonly #excluded = new Map<ServiceName, ReadonlySet<BackendServerName>>();
	#instances: readonly Instance[] = [];
	#set: ConfigurationSet | undefined;

	constructor(options: ServerSubsetsOptions) {
		this.#options = options;
	}

	/** Lists the servers of a service outside this instance's subset. */
	listExcluded(service: ServiceName): ReadonlySet<BackendServerName> {
		const instances = this.#options.liveInstances();
		const set = this.#options.currentSet();
		const isSame = set === this.#set && instances.length === this.#instances.length && instances.every((instance, index) => instance === this.#instances[index]);
		if (!isSame) {
			this.#excluded.clear();
			this.#instances = instances;
			this.#set = set;
		}

		const excluded = this.#excluded.get(service) ?? this.#findExcluded(service);
		this.#excluded.set(service, excluded);
		return excluded;
	}

	#findExcluded(service: ServiceName): ReadonlySet<BackendServerName> {
		const servers = this.#set?.backendServers.filter(server => server.service === service) ?? [];
		const ids = this.#instances.map(({id}) => id);
		const connections = Math.min(...servers.map((server: BackendServer) => server.connections));
		const mayUseAll = servers.length === 0 || ids.length * MIN_CONNECTIONS <= connections;
		if (mayUseAll || !ids.includes(this.#options.instance)) {
			return new Set();
		}

		const subset = new Set(chooseSubset({
			instance: this.#options.instance,
			instances: ids,
			servers: servers.map(({name}) => name),
			size: subsetSize({
				instances: ids.length, servers: servers.length, connectionsPerServer: MIN_CONNECTIONS, connections,
			}),
			hash: h32,
		}));
		return new Set(servers.map(({name}) => name).filter(name => !subset.has(name)));
	}
}

/** Restricts a placement to the servers of the subset. */
export function withinSubset({placeCall, subsets}: {readonly placeCall: PlaceCall; readonly subsets: ServerSubsets}): PlaceCall {
	return async options => {
		const excluded = subsets.listExcluded(options.service.name);
		return placeCall(excluded.size === 0 ? options : {...options, avoidServers: new Set([...options.avoidServers, ...excluded])});
	};
}
