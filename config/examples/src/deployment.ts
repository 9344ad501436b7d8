/** Shapes of the two deployments, at their sizes of today or scaled down for tests. */
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import type {Endpoint} from '@pomelopick/core.types';

/** A service of a deployment. */
export interface DeploymentService {
	readonly name: string;
	readonly priority: 'interactive' | 'deferrable';
	readonly servers: number;
	readonly slots: number;
}

/** A deployment's shape. */
export interface Deployment {
	readonly name: string;
	readonly regions: readonly string[];
	readonly domainsPerRegion: number;
	readonly megabitsPerSecond: number;
	readonly betweenRegionsMs: number;
	readonly betweenDomainsMs: number;
	readonly toClientsMs: number;
	readonly services: readonly DeploymentService[];
}

/** Publishing house: readers of correction notices, filing of retractions. */
export const popescuVlad: Deployment = {
	name: 'popescu-vlad',
	regions: ['transilvania', 'muntenia', 'moldova'],
	domainsPerRegion: 2,
	megabitsPerSecond: 280,
	betweenRegionsMs: 12,
	betweenDomainsMs: 5,
	toClientsMs: 8,
	services: [
		{
			name: 'corrections', priority: 'interactive', servers: 16, slots: 4,
		},
		{
			name: 'archive', priority: 'deferrable', servers: 12, slots: 3,
		},
	],
};

/** Stock ledgers: checks and bookings. */
export const hebrides: Deployment = {
	name: 'hebrides',
	regions: ['highland', 'central', 'borders'],
	domainsPerRegion: 2,
	megabitsPerSecond: 4000,
	betweenRegionsMs: 20,
	betweenDomainsMs: 4,
	toClientsMs: 1,
	services: [
		{
			name: 'ledger', priority: 'interactive', servers: 16, slots: 3,
		},
		{
			name: 'history', priority: 'deferrable', servers: 12, slots: 3,
		},
	],
};

/** A backend server of a deployment before its port is known. */
export interface PlannedServer {
	readonly name: string;
	readonly service: string;
	readonly site: string;
	readonly slots: number;
}

/** Names of the failure domains of a deployment, region by region in turn. */
export function listDomains({regions, domainsPerRegion}: Deployment): ReadonlyArray<{name: string; region: string}> {
	return Array.from({length: domainsPerRegion}, (_, index) => regions.map(region => ({name: `${region}-${index + 1}`, region}))).flat();
}

/** The backend servers of a deployment, spread evenly over its failure domains. */
export function planServers(deployment: Deployment): readonly PlannedServer[] {
	const domains = listDomains(deployment);
	return deployment.services.flatMap(service => Array.from({length: service.servers}, (_, index) => ({
		name: `${service.name}-${index + 1}`, service: service.name, site: `${domains[index % domains.length]!.name}-site`, slots: service.slots,
	})));
}

/** Options of {@link toConfigurationSet}. */
export interface ToConfigurationSetOptions {
	readonly deployment: Deployment;
	readonly endpoints: ReadonlyMap<string, Endpoint>;
}

/** The configuration set of a deployment whose servers listen where `endpoints` says. */
export function toConfigurationSet({deployment, endpoints}: ToConfigurationSetOptions): ConfigurationSetInput {
	const domains = listDomains(deployment);
	const {regions} = deployment;
	return {
		regions: regions.map(name => ({name})),
		failureDomains: domains.map(({name, region}) => ({name, region})),
		sites: domains.map(({name}) => ({name: `${name}-site`, failureDomain: name})),
		links: regions.flatMap((left, index) => regions.slice(index + 1).map(right => ({
			name: `${left}-${right}`, between: [left, right] as [string, string], megabitsPerSecond: deployment.megabitsPerSecond, oneWayMs: deployment.betweenRegionsMs,
		}))),
		services: deployment.services.map(({name, priority}) => ({name, priority})),
		backendServers: planServers(deployment).map(({name, service, site, slots}) => ({
			name, service, site, slots, ...endpoints.get(name)!,
		})),
		spillRules: deployment.services.flatMap(service => regions.map(from => ({
			name: `${service.name}-from-${from}`, service: service.name, from, to: regions.filter(region => region !== from),
		}))),
		clientBlocks: domains.map(({name}, index) => ({prefix: `127.0.${index + 1}.0/24`, site: `${name}-site`})),
	};
}
