/**
 * Chooses the backend servers that an entry instance keeps connections to.
 *
 * Deterministic subsetting as in Beyer et al., "Site Reliability Engineering", O'Reilly 2016, chapter 20: the instances,
 * sorted by name, are divided into rounds. Each round shuffles the servers in its own order, and its instances take
 * consecutive subsets of them. So the numbers of instances that use two servers differ by at most one round.
 */
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';

/** Hashes a text to an unsigned integer. */
export type HashText = (text: string) => number;

/** Options of {@link chooseSubset}. */
export interface ChooseSubsetOptions {
	readonly instance: InstanceId;
	readonly instances: readonly InstanceId[];
	readonly servers: readonly BackendServerName[];
	/** Number of servers that each instance keeps connections to. */
	readonly size: number;
	readonly hash: HashText;
}

/** The subset of the instance: all servers when there are at most `size`, none for an instance that is not listed. */
export function chooseSubset({instance, instances, servers, size, hash}: ChooseSubsetOptions): readonly BackendServerName[] {
	const position = [...new Set(instances)].sort().indexOf(instance);
	if (position === -1) {
		return [];
	}

	if (servers.length <= size) {
		return servers;
	}

	const subsetsPerRound = Math.floor(servers.length / size);
	const round = Math.floor(position / subsetsPerRound);
	const shuffled = servers
		.map(name => ({name, order: hash(`${round} ${name}`)}))
		.sort((left, right) => left.order - right.order || left.name.localeCompare(right.name))
		.map(({name}) => name);
	const start = (position % subsetsPerRound) * size;
	return shuffled.slice(start, start + size);
}

/** Minimum number of connections that one instance may open to one server: one in use, and one to compare it with. */
export const MIN_CONNECTIONS = 2;

/** Connections that one instance may open to one server that accepts `connections` from all `instances` together. */
export function connectionsPerInstance({instances, connections}: {readonly instances: number; readonly connections: number}): number {
	return Math.max(MIN_CONNECTIONS, Math.floor(connections / Math.max(1, instances)));
}

/** Options of {@link subsetSize}. */
export interface SubsetSizeOptions {
	readonly instances: number;
	readonly servers: number;
	/** Connections that one instance may open to one server of its subset. */
	readonly connectionsPerServer: number;
	/** Connections that a server accepts from all instances together. */
	readonly connections: number;
}

/** Maximum size of a subset with which no server gets more connections than it accepts, at least 1. */
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
