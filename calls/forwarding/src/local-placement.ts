/** Places calls using only the calls in flight that this instance counts itself. */
import {Left, Right} from 'purify-ts';
import type {
	BackendServer, BackendServerName, ConfigurationSet, FailureDomainName,
} from '@pomelopick/core.types';
import {chooseByPowerOfTwo, listDrainedServers} from '@pomelopick/steering.choice';
import type {DrawInteger} from '@pomelopick/steering.choice';
import type {PlaceCall} from './placement.js';

const RETRY_AFTER_MS = 1000;

/** Options of {@link createLocalPlacement}. */
export interface CreateLocalPlacementOptions {
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly draw: DrawInteger;
}

/** Creates a placement that selects the less utilised of two random servers ("power of two choices"), leaving out servers being drained. */
export function createLocalPlacement({currentSet, draw}: CreateLocalPlacementOptions): PlaceCall {
	const inFlight = new Map<BackendServerName, number>();
	const add = (name: BackendServerName, count: number): void => {
		inFlight.set(name, (inFlight.get(name) ?? 0) + count);
	};

	return async ({service, avoidServers, avoidDomains}) => {
		const set = currentSet();
		if (!set) {
			return Left({
				reason: 'configuration-missing', execution: 'not-run', detail: 'this instance has not received a configuration yet', retryAfterMs: RETRY_AFTER_MS,
			});
		}

		const domainBySite = new Map(set.sites.map(site => [site.name, site.failureDomain]));
		const domainOf = (server: BackendServer): FailureDomainName => domainBySite.get(server.site)!;
		const drained = listDrainedServers(set);
		const servers = set.backendServers.filter(server => server.service === service.name && !drained.has(server.name) && !avoidServers.has(server.name));
		const inOtherDomains = servers.filter(server => !avoidDomains.has(domainOf(server)));
		const server = chooseByPowerOfTwo({
			items: inOtherDomains.length > 0 ? inOtherDomains : servers, loadOf: ({name, slots}) => (inFlight.get(name) ?? 0) / slots, draw,
		});
		if (!server) {
			return Left({
				reason: 'no-backend-server', execution: 'not-run', detail: `no backend server of ${service.name} is available: all are being drained or were tried`, retryAfterMs: RETRY_AFTER_MS,
			});
		}

		add(server.name, 1);
		return Right({
			server, failureDomain: domainOf(server), why: 'less utilised of two random servers', waitedMs: 0, release() {
				add(server.name, -1);
			},
		});
	};
}
