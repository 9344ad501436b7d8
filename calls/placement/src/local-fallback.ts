/** Places calls by this instance's own counts while no slot owner can be reached. */
import type {
	BackendServer, BackendServerName, ConfigurationSet, FailureDomainName, RegionName, ServiceName,
} from '@pomelopick/core.types';
import {chooseByPowerOfTwo, listDrainedServers, ConcurrencyLimit} from '@pomelopick/steering.choice';
import type {DrawInteger, SlotEnd} from '@pomelopick/steering.choice';

/** Maximum calls in flight from this instance to one server; low, since the calls of other instances are not known. */
const CALLS_PER_SERVER = 1;

/** Options of {@link LocalFallback}. */
export interface LocalFallbackOptions {
	readonly draw: DrawInteger;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link LocalFallback.tryTake}. */
export interface FallbackTakeOptions {
	readonly set: ConfigurationSet;
	readonly service: ServiceName;
	readonly region: RegionName;
	readonly avoidServers: ReadonlySet<BackendServerName>;
	readonly avoidDomains: ReadonlySet<FailureDomainName>;
}

/** A backend server that was chosen without an owner. */
export interface FallbackSlot {
	readonly server: BackendServer;
	release(end: SlotEnd): void;
}

/** Applies own counts and conservative limits. The backend servers' own load shedding is the last protection against overload. */
export class LocalFallback {
	readonly #options: LocalFallbackOptions;
	readonly #inFlight = new Map<BackendServerName, number>();
	readonly #limits = new Map<BackendServerName, ConcurrencyLimit>();

	constructor(options: LocalFallbackOptions) {
		this.#options = options;
	}

	/** Takes the less used of two random servers of the region; undefined when no server may get another call. */
	tryTake({set, service, region, avoidServers, avoidDomains}: FallbackTakeOptions): FallbackSlot | undefined {
		const nowMs = this.#options.now();
		const regionByDomain = new Map(set.failureDomains.map(domain => [domain.name, domain.region]));
		const domainBySite = new Map(set.sites.map(site => [site.name, site.failureDomain]));
		const drained = listDrainedServers(set);
		const candidates = set.backendServers.filter(({name, service: served, site}) => served === service
			&& regionByDomain.get(domainBySite.get(site)!) === region
			&& !drained.has(name)
			&& !avoidServers.has(name)
			&& this.#countAt(name) < CALLS_PER_SERVER
			&& !this.#limits.get(name)?.isPaused(nowMs));
		const preferred = candidates.filter(({site}) => !avoidDomains.has(domainBySite.get(site)!));
		const server = chooseByPowerOfTwo({items: preferred.length > 0 ? preferred : candidates, loadOf: ({name, slots}) => this.#countAt(name) / slots, draw: this.#options.draw});
		return server && this.#take({server, nowMs});
	}

	#take({server, nowMs}: {readonly server: BackendServer; readonly nowMs: number}): FallbackSlot {
		this.#inFlight.set(server.name, this.#countAt(server.name) + 1);
		return {
			server, release: end => {
				this.#inFlight.set(server.name, this.#countAt(server.name) - 1);
				const limit = this.#limits.get(server.name) ?? new ConcurrencyLimit(server);
				limit.recordEnd({end, heldMs: this.#options.now() - nowMs, nowMs: this.#options.now()});
				this.#limits.set(server.name, limit);
			},
		};
	}

	#countAt(name: BackendServerName): number {
		return this.#inFlight.get(name) ?? 0;
	}
}
