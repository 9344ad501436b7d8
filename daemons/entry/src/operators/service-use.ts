/** Reports an instance's view of the use of each service in each region. */
import type {
	ConfigurationSet, InstanceId, RegionName, ServiceName, ServiceUseReport, SlotUseReport,
} from '@pomelopick/core.types';
import {Topology} from '@pomelopick/steering.lookup';
import type {ExplainSources} from './explain-sources.js';

/** Options of {@link listServiceUse}. */
export interface ListServiceUseOptions {
	/** The reporting instance. */
	readonly instance: InstanceId;
	readonly set: ConfigurationSet;
	readonly sources: ExplainSources;
}

/** Lists this instance's calls by service and region, and the slots of the groups that it counts for the whole fleet. */
export function listServiceUse({instance, set, sources}: ListServiceUseOptions): readonly ServiceUseReport[] {
	const topology = new Topology(set);
	const inProgress = sources.listCallsInProgress();
	const placed = sources.listCallsPlaced();
	const uses = new Map<string, ServiceUseReport>();
	for (const {name, service, site} of set.backendServers) {
		const region = topology.regionOfSite(site);
		if (region !== undefined) {
			const key = `${service} ${region}`;
			const use = uses.get(key) ?? startUse({
				instance, service, region, sources,
			});
			uses.set(key, {...use, callsInProgress: use.callsInProgress + (inProgress.get(name) ?? 0), callsPlaced: use.callsPlaced + (placed.get(name) ?? 0)});
		}
	}

	return [...uses.values()];
}

interface GroupOptions {
	readonly instance: InstanceId;
	readonly service: ServiceName;
	readonly region: RegionName;
	readonly sources: ExplainSources;
}

function startUse(options: GroupOptions): ServiceUseReport {
	const {service, region} = options;
	const slots = countSlots(options);
	return {
		service, region, callsInProgress: 0, callsPlaced: 0, ...(slots && {slots}),
	};
}

function countSlots({instance, service, region, sources}: GroupOptions): SlotUseReport | undefined {
	const group = sources.readSlots?.({service, region});
	if (group?.owner !== instance || group.servers.length === 0) {
		return undefined;
	}

	return {
		countedBy: instance,
		inUse: group.servers.reduce((sum, {slotsInUse}) => sum + slotsInUse, 0),
		proven: group.servers.reduce((sum, {provenSlots}) => sum + provenSlots, 0),
	};
}
