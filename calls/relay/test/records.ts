/** Records of the configuration and the store, for the tests of this package. */
import type {
	BackendServerName, FailureDomainName, Organisation, OrganisationKey, OrganisationName, RegisteredServer, Route, RouteName, ServiceName,
} from '@pomelopick/core.types';

/** Creates a route of reads without targets. */
export function createRoute(fields: Partial<Route> = {}): Route {
	return {
		name: 'read' as RouteName, host: 'host', prefix: '/', repeatability: 'idempotent', timeoutMs: 1000, targetLatencyMs: 500, priority: 3, targets: [], maxServers: 2, prefersWarmServers: false, homeRegions: [], isPublic: false, isUpload: false, ...fields,
	};
}

/** Creates an organisation without a quota, whose key is `key-of-` and its name. */
export function createOrganisation(name: string, fields: Partial<Organisation> & {readonly keys?: readonly OrganisationKey[]} = {}): Organisation {
	return {
		name: name as OrganisationName, keys: [`key-of-${name}` as OrganisationKey], priority: undefined, quota: undefined, homeRegions: [], ...fields,
	};
}

/** Creates the entry of a server that takes requests. */
export function createServer(name: string, fields: Partial<RegisteredServer> = {}): RegisteredServer {
	return {
		name: name as BackendServerName,
		service: 'ledger' as ServiceName,
		address: '10.0.0.1',
		port: 80,
		failureDomain: 'north-a' as FailureDomainName,
		slots: 4,
		state: 'ready',
		warmupLeftMs: 0,
		startedAtMs: 1,
		heartbeat: 1,
		...fields,
	};
}
