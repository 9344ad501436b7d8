/** Finds the backend servers that the configuration drains. */
import type {BackendServerName, ConfigurationSet} from '@pomelopick/core.types';

/** Names of the backend servers that a drain of the configuration covers, directly or through their site or failure domain. */
export function listDrainedServers(set: ConfigurationSet): ReadonlySet<BackendServerName> {
	const targets = new Set(set.drains.map(({target}) => `${target.kind} ${target.name}`));
	const domainBySite = new Map(set.sites.map(site => [site.name, site.failureDomain]));
	return new Set(set.backendServers
		.filter(({name, site}) => targets.has(`backendServer ${name}`) || targets.has(`site ${site}`) || targets.has(`failureDomain ${domainBySite.get(site)}`))
		.map(({name}) => name));
}
