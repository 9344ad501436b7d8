/** Explains to which backend servers a call could be sent. */
import type {
	BackendServer, BackendServerName, ConfigurationSet, DrainTarget, ExplainedServer, RegionName, Service,
} from '@pomelopick/core.types';
import type {ServerSlots} from '@pomelopick/calls.placement';
import type {Topology} from '@pomelopick/steering.lookup';
import type {ExplainSources} from './explain-sources.js';

/** Options of {@link listRegionOrder}. */
export interface ListRegionOrderOptions {
	readonly set: ConfigurationSet;
	readonly service: Service;
	readonly home: RegionName | undefined;
}

/** Lists the regions in which a call of a home region may run, in the order in which they are tried. */
export function listRegionOrder({set, service, home}: ListRegionOrderOptions): readonly RegionName[] {
	const rule = set.spillRules.find(({service: name, from}) => name === service.name && from === home);
	return [...(home === undefined ? [] : [home]), ...(rule?.to ?? [])];
}

/** Options of {@link explainServers}. */
export interface ExplainServersOptions {
	readonly set: ConfigurationSet;
	readonly topology: Topology;
	readonly service: Service;
	readonly order: readonly RegionName[];
	readonly sources: ExplainSources;
}

/** Explains all backend servers of a service; those that are tried first come first. */
export function explainServers({set, topology, service, order, sources}: ExplainServersOptions): ExplainedServer[] {
	const inProgress = sources.listCallsInProgress();
	const counted = new Map(order.flatMap(region => sources.readSlots?.({service: service.name, region}).servers ?? []).map(slots => [slots.server, slots]));
	return set.backendServers
		.filter(server => server.service === service.name)
		.map(server => {
			const region = topology.regionOfSite(server.site);
			const position = region === undefined ? -1 : order.indexOf(region);
			const drain = findDrain({set, topology, server});
			const slots = counted.get(server.name);
			return {
				backendServer: server.name,
				site: server.site,
				region: region ?? '',
				...(position !== -1 && {regionOrder: position + 1}),
				slots: server.slots,
				callsInProgress: inProgress.get(server.name) ?? 0,
				...(slots && {slotsInUse: slots.slotsInUse, provenSlots: slots.provenSlots}),
				isCandidate: drain === undefined && position !== -1 && !slots?.isLeaving,
				reason: explainServer({drain, position, slots}),
			};
		})
		.sort((left, right) => Number(right.isCandidate) - Number(left.isCandidate)
			|| (left.regionOrder ?? Number.POSITIVE_INFINITY) - (right.regionOrder ?? Number.POSITIVE_INFINITY)
			|| left.backendServer.localeCompare(right.backendServer, 'en', {numeric: true}));
}

function explainServer({drain, position, slots}: {readonly drain: string | undefined; readonly position: number; readonly slots: ServerSlots | undefined}): string {
	if (drain !== undefined) {
		return `left out: drain ${drain}`;
	}

	if (position === -1) {
		return 'left out: no spill rule leads to its region';
	}

	if (slots?.isLeaving) {
		return 'left out: it announced that it is leaving';
	}

	const region = position === 0 ? 'home region' : `spill region ${position}`;
	return slots && slots.slotsInUse >= slots.provenSlots ? `candidate in ${region}; all proven slots in use` : `candidate in ${region}`;
}

/** Finds the name of the first drain that includes a server. */
function findDrain({set, topology, server}: {readonly set: ConfigurationSet; readonly topology: Topology; readonly server: BackendServer}): string | undefined {
	const covered: Record<DrainTarget['kind'], BackendServerName | string | undefined> = {
		backendServer: server.name, site: server.site, failureDomain: topology.domainOfSite(server.site),
	};
	return set.drains.find(({target}) => covered[target.kind] === target.name)?.name;
}
