/** Index of what placement looks up in a configuration for each call; built once per version. */
import type {
	BackendServer, BackendServerName, ConfigurationSet, FailureDomainName, RegionName, ServiceName, SiteName,
} from '@pomelopick/core.types';
import {listRegionChoices} from '@pomelopick/steering.capacity';
import type {RegionChoice} from '@pomelopick/steering.capacity';

/** A backend server and its failure domain. */
export interface LocatedServer {
	readonly server: BackendServer;
	readonly failureDomain: FailureDomainName;
}

/** Options of {@link ConfigurationIndex.homeRegion}. */
export interface HomeRegionOptions {
	/** Site nearest to the caller, if known. */
	readonly site: SiteName | undefined;
	/** Failure domain that is used when the site is not known. */
	readonly failureDomain: FailureDomainName;
}

/** Index of one version of the configuration. */
export class ConfigurationIndex {
	readonly #domainBySite: ReadonlyMap<SiteName, FailureDomainName>;
	readonly #regionByDomain: ReadonlyMap<FailureDomainName, RegionName>;
	readonly #servers: ReadonlyMap<BackendServerName, LocatedServer>;
	/** Cache with one entry per service and home region; bounded, since only configured ones get here. */
	readonly #choices = new Map<string, readonly RegionChoice[]>();

	constructor(readonly set: ConfigurationSet) {
		this.#domainBySite = new Map(set.sites.map(({name, failureDomain}) => [name, failureDomain]));
		this.#regionByDomain = new Map(set.failureDomains.map(({name, region}) => [name, region]));
		this.#servers = new Map(set.backendServers.map(server => [server.name, {server, failureDomain: this.#domainBySite.get(server.site)!}]));
	}

	/** Returns the home region of a caller. */
	homeRegion({site, failureDomain}: HomeRegionOptions): RegionName | undefined {
		const domain = site === undefined ? undefined : this.#domainBySite.get(site);
		return this.#regionByDomain.get(domain ?? failureDomain);
	}

	/** Returns a backend server of the configuration. */
	findServer(name: BackendServerName): LocatedServer | undefined {
		return this.#servers.get(name);
	}

	/** Lists the regions that calls of a service may go to, best first. */
	listChoices({service, home}: {readonly service: ServiceName; readonly home: RegionName}): readonly RegionChoice[] {
		const key = `${service} ${home}`;
		const choices = this.#choices.get(key) ?? listRegionChoices({set: this.set, service, home});
		this.#choices.set(key, choices);
		return choices;
	}
}
