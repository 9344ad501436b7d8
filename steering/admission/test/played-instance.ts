/** The simulated service of a play, and the instances that send requests to it. */
import type {
	BackendServerName, FailureDomainName, RegionName, RegisteredServer, Route, RouteName, ServiceName,
} from '@pomelopick/core.types';
import {AdmissionTable, DeadlineCheck} from '@pomelopick/steering.admission';
import {ObjectPlacer} from '@pomelopick/steering.objects';
import {ObservationTable, ServerTable} from '@pomelopick/steering.servers';

const domain = 'north-a' as FailureDomainName;
const region = 'north' as RegionName;
export const service = 'ledger' as ServiceName;
export const SERVERS = 16;
export const SLOTS = 4;
export const TARGET_MS = 400;
export const MOST_SENDS = 2;

/** Placement and admission state of one instance. */
export interface PlayedInstance {
	readonly placer: ObjectPlacer;
	readonly observations: ObservationTable;
	readonly admissions: AdmissionTable;
	readonly deadlines: DeadlineCheck;
}

/** Registers the servers of the service. */
export function createServers(): readonly RegisteredServer[] {
	return Array.from({length: SERVERS}, (_, number) => ({
		name: `server-${number}` as BackendServerName,
		service,
		address: '10.0.0.1',
		port: 1,
		failureDomain: domain,
		slots: SLOTS,
		state: 'ready',
		warmupLeftMs: 0,
		startedAtMs: 1,
		heartbeat: 1,
	}));
}

/** Creates an instance that knows all servers. */
export function createInstance(random: () => number): PlayedInstance {
	const servers = new ServerTable();
	for (const server of createServers()) {
		servers.write({server, nowMs: 0});
	}

	const observations = new ObservationTable();
	const placer = new ObjectPlacer({
		servers, observations, failureDomain: domain, region, regions: new Map([[domain, region]]), mayTakeRate: () => true, rateClosedUntilMs: () => undefined, unavailableUntilMs: () => undefined, isUnreachable: () => false, random,
	});
	return {
		placer, observations, admissions: new AdmissionTable(), deadlines: new DeadlineCheck(),
	};
}

/** Creates the route of a request. */
export function createRoute({priority, timeoutMs}: {readonly priority: number; readonly timeoutMs: number}): Route {
	return {
		name: 'read' as RouteName,
		host: 'a',
		prefix: '/',
		repeatability: 'idempotent',
		timeoutMs,
		targetLatencyMs: TARGET_MS,
		priority,
		targets: [{service, weight: 1}],
		maxServers: MOST_SENDS,
		prefersWarmServers: false,
		homeRegions: [], isPublic: false, isUpload: false,
	};
}
