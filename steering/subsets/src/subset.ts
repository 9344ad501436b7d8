/**
 * Which backend servers an entry instance keeps connections to.
 *
 * Deterministic subsetting as in Beyer et al., "Site Reliability Engineering", O'Reilly 2016, chapter 20: the instances
 * are cut into rounds; each round shuffles the servers by its own order and its instances take consecutive parts. So each
 * server is used by as many instances as any other, give or take one round. An instance's place is its rank by name.
 */
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';

/** Hashes a text to an unsigned integer. */
export type HashText = (text: string) => number;

/** Options of {@link chooseSubset}. */
export interface ChooseSubsetOptions {
	readonly instance: InstanceId;
	readonly instances: readonly InstanceId[];
	readonly servers: readonly BackendServerName[];
	/** Servers that each instance keeps connections to. */
	readonly size: number;
	readonly hash: HashText;
}

/** The instance's subset; all servers when they are no more than its size, none for an instance that is not listed. */
export function chooseSubset({instance, instances, servers, size, hash}: ChooseSubsetOptions): readonly BackendServerName[] {
	const place = [...new Set(instances)].sort().indexOf(instance);
	if (place === -1) {
		return [];
	}

	if (servers.length <= size) {
		return servers;
	}

	const parts = Math.floor(servers.length / size);
	const round = Math.floor(place / parts);
	const shuffled = servers
		.map(name => ({name, order: hash(`${round} ${name}`)}))
		.sort((left, right) => left.order - right.order || left.name.localeCompare(right.name))
		.map(({name}) => name);
	const start = (place % parts) * size;
	return shuffled.slice(start, start + size);
}

/** Connections of one instance to one server for which there is always room: one in use, and one to compare with it. */
export const MIN_CONNECTIONS = 2;

/** Connections that one instance may open to one server which accepts so many from so many instances. */
export function connectionsPerInstance({instances, connections}: {readonly instances: number; readonly connections: number}): number {
	return Math.max(MIN_CONNECTIONS, Math.floor(connections / Math.max(1, instances)));
}

/** Options of {@link subsetSize}. */
export interface SubsetSizeOptions {
	readonly instances: number;
	readonly servers: number;
	/** Connections that one instance may open to one server of its subset. */
	readonly connectionsPerServer: number;
	/** Connections that a server accepts in all. */
	readonly connections: number;
}

/** Largest subset with which no server gets more connections than it accepts, at least 1. */
export function subsetSize({instances, servers, connectionsPerServer, connections}: SubsetSizeOptions): number {
	const instancesPerServer = Math.floor(connections / connectionsPerServer);
	const fits = (size: number): boolean => Math.ceil(instances / Math.floor(servers / size)) <= instancesPerServer;
	for (let size = servers; size > 1; size -= 1) {
		if (fits(size)) {
			return size;
		}
	}

	return 1;
}
