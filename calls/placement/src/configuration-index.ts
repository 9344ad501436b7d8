/** What placement looks up in a configuration with each call, indexed once a version. */
import type {
	BackendServer, BackendServerName, ConfigurationSet, FailureDomainName, RegionName, ServiceName, SiteName,
} from '@pomelopick/core.types';
import {listRegionChoices} from '@pomelopick/steering.capacity';
import type {RegionChoice} from '@pomelopick/steering.capacity';

/** A backend server and where it stands. */
export interface LocatedServer {
	readonly server: BackendServer;
	readonly failureDomain: FailureDomainName;
}

/** Options of {@link ConfigurationIndex.homeRegion}. */
export interface HomeRegionOptions {
	/** Site nearest to the caller, where known. */
	readonly site: SiteName | undefined;
	/** Taken in place of a site that is not known. */
	readonly failureDomain: FailureDomainName;
}

/** Index of one version of the configuration. */
export class ConfigurationIndex {
	readonly #domainBySite: ReadonlyMap<SiteName, FailureDomainName>;
	readonly #regionByDomain: ReadonlyMap<FailureDomainName, RegionName>;
	readonly #servers: ReadonlyMap<BackendServerName, LocatedServer>;
	/** One entry a configured service and region that calls have named, which bounds it. */
	readonly #choices = new Map<string, readonly RegionChoice[]>();

	constructor(readonly set: ConfigurationSet) {
		this.#domainBySite = new Map(set.sites.map(({name, failureDomain}) => [name, failureDomain]));
		this.#regionByDomain = new Map(set.failureDomains.map(({name, region}) => [name, region]));
		this.#servers = new Map(set.backendServers.map(server => [server.name, {server, failureDomain: this.#domainBySite.get(server.site)!}]));
	}

	/** Region of a caller. */
	homeRegion({site, failureDomain}: HomeRegionOptions): RegionName | undefined {
		const domain = site === undefined ? undefined : this.#domainBySite.get(site);
		return this.#regionByDomain.get(domain ?? failureDomain);
	}

	/** A backend server of the set. */
	findServer(name: BackendServerName): LocatedServer | undefined {
		return this.#servers.get(name);
	}

	/** Regions that calls of a service may go to, best first. */
	listChoices({service, home}: {readonly service: ServiceName; readonly home: RegionName}): readonly RegionChoice[] {
		const key = `${service} ${home}`;
		const choices = this.#choices.get(key) ?? listRegionChoices({set: this.set, service, home});
		this.#choices.set(key, choices);
		return choices;
	}
}
