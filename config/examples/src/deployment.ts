/** Descriptions of the two deployments at their present sizes; tests scale them down. */
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import type {Endpoint} from '@pomelopick/core.types';

/** A service of a deployment. */
export interface DeploymentService {
	readonly name: string;
	readonly priority: 'interactive' | 'deferrable';
	/** Number of backend servers. */
	readonly servers: number;
	/** Calls that each backend server runs at the same time. */
	readonly slots: number;
}

/** Regions, network and services of a deployment. */
export interface Deployment {
	readonly name: string;
	readonly regions: readonly string[];
	/** Number of failure domains in each region. */
	readonly failureDomainsPerRegion: number;
	/** Capacity of the link between two regions, each way, in megabits per second. */
	readonly megabitsPerSecond: number;
	/** One-way delay between regions, in milliseconds. */
	readonly regionDelayMs: number;
	/** Delay between failure domains of a region, in milliseconds. */
	readonly failureDomainDelayMs: number;
	/** Delay to the clients, in milliseconds. */
	readonly clientDelayMs: number;
	readonly services: readonly DeploymentService[];
}

/** Deployment of a publishing house: correction notices for readers, and an archive for filing retractions. */
export const popescuVlad: Deployment = {
	name: 'popescu-vlad',
	regions: ['transilvania', 'muntenia', 'moldova'],
	failureDomainsPerRegion: 2,
	megabitsPerSecond: 280,
	regionDelayMs: 12,
	failureDomainDelayMs: 5,
	clientDelayMs: 8,
	services: [
		{
			name: 'corrections', priority: 'interactive', servers: 16, slots: 4,
		},
		{
			name: 'archive', priority: 'deferrable', servers: 12, slots: 3,
		},
	],
};

/** Deployment of stock ledgers: checks and bookings. */
export const hebrides: Deployment = {
	name: 'hebrides',
	regions: ['highland', 'central', 'borders'],
	failureDomainsPerRegion: 2,
	megabitsPerSecond: 4000,
	regionDelayMs: 20,
	failureDomainDelayMs: 4,
	clientDelayMs: 1,
	services: [
		{
			name: 'ledger', priority: 'interactive', servers: 16, slots: 3,
		},
		{
			name: 'history', priority: 'deferrable', servers: 12, slots: 3,
		},
	],
};

/** A backend server of a deployment whose endpoint is not known yet. */
export interface PlannedServer {
	readonly name: string;
	readonly service: string;
	readonly site: string;
	readonly slots: number;
}

/** Lists the failure domains of a deployment with their regions, alternating between the regions. */
export function listFailureDomains({regions, failureDomainsPerRegion: domainsPerRegion}: Deployment): ReadonlyArray<{name: string; region: string}> {
	return Array.from({length: domainsPerRegion}, (_, index) => regions.map(region => ({name: `${region}-${index + 1}`, region}))).flat();
}

/** Lists the backend servers of a deployment, spread evenly over its failure domains. */
export function planServers(deployment: Deployment): readonly PlannedServer[] {
	const failureDomains = listFailureDomains(deployment);
	return deployment.services.flatMap(service => Array.from({length: service.servers}, (_, index) => ({
		name: `${service.name}-${index + 1}`, service: service.name, site: `${failureDomains[index % failureDomains.length]!.name}-site`, slots: service.slots,
	})));
}

/** Options of {@link toConfigurationSet}. */
export interface ToConfigurationSetOptions {
	readonly deployment: Deployment;
	/** Endpoint of each backend server, by its name. */
	readonly endpoints: ReadonlyMap<string, Endpoint>;
}

/** Creates the configuration set of a deployment whose backend servers listen at the given endpoints. */
export function toConfigurationSet({deployment, endpoints}: ToConfigurationSetOptions): ConfigurationSetInput {
	const failureDomains = listFailureDomains(deployment);
	const {regions} = deployment;
	return {
		regions: regions.map(name => ({name})),
		failureDomains: failureDomains.map(({name, region}) => ({name, region})),
		sites: failureDomains.map(({name}) => ({name: `${name}-site`, failureDomain: name})),
		links: regions.flatMap((left, index) => regions.slice(index + 1).map(right => ({
			name: `${left}-${right}`, between: [left, right] as [string, string], megabitsPerSecond: deployment.megabitsPerSecond, oneWayMs: deployment.regionDelayMs,
		}))),
		services: deployment.services.map(({name, priority}) => ({name, priority})),
		backendServers: planServers(deployment).map(({name, service, site, slots}) => ({
			name, service, site, slots, ...endpoints.get(name)!,
		})),
		spillRules: deployment.services.flatMap(service => regions.map(from => ({
			name: `${service.name}-from-${from}`, service: service.name, from, to: regions.filter(region => region !== from),
		}))),
		clientBlocks: failureDomains.map(({name}, index) => ({prefix: `127.0.${index + 1}.0/24`, site: `${name}-site`})),
	};
}
