/** Maps sites to failure domains and regions, and returns the delays between them. */
import type {
	ConfigurationSet, FailureDomainName, RegionName, SiteName,
} from '@pomelopick/core.types';

/** Assumed delay between regions without a link, in milliseconds. */
const UNLINKED_DELAY_MS = 1000;
/** Assumed delay between failure domains of one region, in milliseconds. */
const INTRA_REGION_DELAY_MS = 5;

/** The sites, failure domains and regions of one configuration. */
export class Topology {
	readonly #regionByDomain: ReadonlyMap<FailureDomainName, RegionName>;
	readonly #domainBySite: ReadonlyMap<SiteName, FailureDomainName>;
	readonly #delayByPair: ReadonlyMap<string, number>;

	constructor(set: ConfigurationSet) {
		this.#regionByDomain = new Map(set.failureDomains.map(domain => [domain.name, domain.region]));
		this.#domainBySite = new Map(set.sites.map(site => [site.name, site.failureDomain]));
		this.#delayByPair = new Map(set.links.flatMap(({between: [left, right], oneWayMs}) => [[`${left} ${right}`, oneWayMs], [`${right} ${left}`, oneWayMs]]));
	}

	/** Failure domain of a site. */
	domainOfSite(site: SiteName): FailureDomainName | undefined {
		return this.#domainBySite.get(site);
	}

	/** Region of a failure domain. */
	regionOfDomain(domain: FailureDomainName): RegionName | undefined {
		return this.#regionByDomain.get(domain);
	}

	/** Region of a site. */
	regionOfSite(site: SiteName): RegionName | undefined {
		const domain = this.#domainBySite.get(site);
		return domain && this.#regionByDomain.get(domain);
	}

	/** Expected one-way delay between two failure domains, in milliseconds. */
	delayMs({from, to}: {readonly from: FailureDomainName; readonly to: FailureDomainName}): number {
		if (from === to) {
			return 0;
		}

		const fromRegion = this.#regionByDomain.get(from);
		const toRegion = this.#regionByDomain.get(to);
		return fromRegion === toRegion ? INTRA_REGION_DELAY_MS : this.#delayByPair.get(`${fromRegion} ${toRegion}`) ?? UNLINKED_DELAY_MS;
	}
}
