/** A service, its servers and an object placer for them, for the tests of this package. */
import {ObjectPlacer} from '@pomelopick/steering.objects';
import type {ObjectPlacerOptions} from '@pomelopick/steering.objects';
import {ObservationTable, ServerTable} from '@pomelopick/steering.servers';
import type {
	BackendServerName, FailureDomainName, RegionName, RegisteredServer, Route, RouteName, ServiceName,
} from '@pomelopick/core.types';

export const service = 'ledger' as ServiceName;
/** Slots of each server. */
export const SLOTS = 4;

export const route: Route = {
	name: 'read' as RouteName,
	host: 'a',
	prefix: '/',
	repeatability: 'idempotent',
	timeoutMs: 1500,
	targetLatencyMs: 400,
	priority: 1,
	targets: [{service, weight: 1}],
	maxServers: 2,
	prefersWarmServers: true,
	homeRegions: [], isPublic: false, isUpload: false,
};

/** Creates the table of servers, with a number of them in each failure domain. */
export function createServers(counts: Readonly<Record<string, number>>): ServerTable {
	const table = new ServerTable();
	for (const [failureDomain, count] of Object.entries(counts)) {
		for (let number = 0; number < count; number += 1) {
			const server: RegisteredServer = {
				name: `${failureDomain}-${number}` as BackendServerName,
				service,
				address: '10.0.0.1',
				port: 80,
				failureDomain: failureDomain as FailureDomainName,
				slots: SLOTS,
				state: 'ready',
				warmupLeftMs: 0,
				startedAtMs: 1,
				heartbeat: 1,
			};
			table.write({server, nowMs: 0});
		}
	}

	return table;
}

/** Options of {@link createPlacer}: those of the placer that a test sets. */
export interface CreatePlacerOptions extends Partial<ObjectPlacerOptions> {
	/** Number of servers by failure domain. */
	readonly counts: Readonly<Record<string, number>>;
	readonly regions: ReadonlyMap<FailureDomainName, RegionName>;
	/** Failure domain of the instance; `north-a` by default. */
	readonly domain?: string;
}

/** Creates a placer at an instance that can reach all servers, which limit and close nothing by default. */
export function createPlacer({counts, regions, domain = 'north-a', ...options}: CreatePlacerOptions) {
	const servers = createServers(counts);
	const observations = new ObservationTable();
	const failureDomain = domain as FailureDomainName;
	const placer = new ObjectPlacer({
		servers,
		observations,
		failureDomain,
		region: regions.get(failureDomain)!,
		regions,
		mayTakeRate: () => true,
		rateClosedUntilMs: () => undefined,
		unavailableUntilMs: () => undefined,
		isUnreachable: () => false,
		random: () => 0,
		...options,
	});
	return {placer, servers, observations};
}
