/** Explains which instances the look-up of this instance returns to a client, and where this instance would send the client's calls. */
import type {
	ClientBlock, ConfigurationSet, ExplainedEntry, Explanation, ExplanationStep, FailureDomainName, RegionName, Service, SiteName,
} from '@pomelopick/core.types';
import type {ConfigurationView} from '@pomelopick/config.distribution';
import {Topology} from '@pomelopick/steering.lookup';
import type {LookupView} from '../lookup-view.js';
import {explainServers, listRegionOrder} from './explain-servers.js';
import type {ExplainSources} from './explain-sources.js';
import {findMatchingBlock} from './matching-block.js';

const PERCENT = 100;

/** Options of {@link explain}. */
export interface ExplainOptions {
	readonly instance: string;
	/** Failure domain of this instance, from which its calls are placed. */
	readonly failureDomain: FailureDomainName;
	readonly client: string;
	readonly service: Service;
	readonly view: ConfigurationView;
	readonly lookup: LookupView;
	readonly sources: ExplainSources;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Location of a client; undefined parts are not known. */
interface ClientPlace {
	readonly block: ClientBlock | undefined;
	readonly site: SiteName | undefined;
	readonly domain: FailureDomainName | undefined;
	readonly region: RegionName | undefined;
}

/** Explains one decision, from the same data that the decision itself uses. */
export function explain(options: ExplainOptions): Explanation {
	const {instance, failureDomain, client, service, view, lookup, sources, nowMs} = options;
	const {set, root} = view.configuration;
	const topology = new Topology(set);
	const place = locate({
		set, topology, lookup, client,
	});
	const home = place.region ?? topology.regionOfDomain(failureDomain);
	const order = listRegionOrder({set, service, home});
	return {
		client,
		service: service.name,
		instance,
		configurationVersion: root.version,
		viewAgeMs: Math.round(nowMs - view.confirmedAtMs),
		...(place.block && {block: place.block.prefix}),
		...(place.site && {site: place.site}),
		...(place.region && {region: place.region}),
		steps: [...explainPlace({set, place, client}), ...explainOrder({
			set, service, order, home, isKnown: place.region !== undefined, sources,
		})],
		entries: explainEntries({
			lookup, topology, client, domain: place.domain,
		}),
		backendServers: explainServers({
			set, topology, service, order, sources,
		}),
	};
}

function locate({set, topology, lookup, client}: {readonly set: ConfigurationSet; readonly topology: Topology; readonly lookup: LookupView; readonly client: string}): ClientPlace {
	const site = lookup.findSite(client);
	return {
		site,
		block: site && findMatchingBlock({blocks: set.clientBlocks, client}),
		domain: site && topology.domainOfSite(site),
		region: site && topology.regionOfSite(site),
	};
}

function explainPlace({set, place, client}: {readonly set: ConfigurationSet; readonly place: ClientPlace; readonly client: string}): ExplanationStep[] {
	if (!place.site) {
		return [{rule: 'longest client block', result: `none of ${set.clientBlocks.length} blocks contains ${client}; instances are chosen by a hash of the address alone`}];
	}

	return [
		{rule: 'longest client block', result: `${place.block?.prefix ?? 'unknown'} of ${set.clientBlocks.length} blocks`},
		{rule: 'site of the block', result: `${place.site} in failure domain ${place.domain ?? 'unknown'}, region ${place.region ?? 'unknown'}`},
	];
}

interface ExplainOrderOptions {
	readonly set: ConfigurationSet;
	readonly service: Service;
	readonly order: readonly RegionName[];
	readonly home: RegionName | undefined;
	readonly isKnown: boolean;
	readonly sources: ExplainSources;
}

function explainOrder({set, service, order, home, isKnown, sources}: ExplainOrderOptions): ExplanationStep[] {
	const rule = set.spillRules.find(candidate => candidate.service === service.name && candidate.from === home);
	const shifts = set.shifts.filter(shift => shift.service === service.name && shift.from === home);
	const use = sources.listShiftUse?.();
	return [
		{rule: 'home region of the call', result: `${home ?? 'unknown'}, ${isKnown ? 'of the client\'s site' : 'of this instance, since the client\'s site is not known'}`},
		{rule: rule ? `spill rule ${rule.name}` : 'no spill rule', result: `regions in order: ${order.join(', ')}`},
		...order.flatMap(region => explainSlots({service, region, sources})),
		...shifts.map(({name, to, capCallsPerSecond}) => ({
			rule: `shift ${name}`, result: `to ${to}, cap ${capCallsPerSecond} calls/s, ${use ? `${(use.get(name) ?? 0).toFixed(1)} calls/s in use` : 'use not known at this instance'}`,
		})),
		{rule: `service ${service.name}`, result: `${service.priority}, deadline ${service.defaultTimeoutMs} ms when the call has none, at most ${service.queueCalls} calls wait`},
	];
}

function explainSlots({service, region, sources}: {readonly service: Service; readonly region: RegionName; readonly sources: ExplainSources}): ExplanationStep[] {
	const slots = sources.readSlots?.({service: service.name, region});
	if (!slots) {
		return [];
	}

	const state = slots.state ? `capacity for ${slots.state.spillSlots} calls from other regions, expected wait ${Math.round(slots.state.expectedWaitMs)} ms` : 'no recent calls from this instance';
	return [{rule: `slots of ${service.name} in ${region}`, result: `counted by ${slots.owner ?? 'nobody'}; ${state}`}];
}

interface ExplainEntriesOptions {
	readonly lookup: LookupView;
	readonly topology: Topology;
	readonly client: string;
	readonly domain: FailureDomainName | undefined;
}

function explainEntries({lookup, topology, client, domain}: ExplainEntriesOptions): ExplainedEntry[] {
	const named = lookup.entriesFor(client).map(({id}) => id);
	return lookup.members
		.map(({instance: {id, failureDomain, state}, alive, isolated, load}) => {
			const place = named.indexOf(id) + 1;
			return {
				instance: id,
				failureDomain,
				...(domain && {delayMs: topology.delayMs({from: domain, to: failureDomain})}),
				load,
				...(place > 0 && {place}),
				reason: place > 0
					? namedReason({isIsolated: isolated, load})
					: leftOutReason({
						state, isAlive: alive, isIsolated: isolated, load, count: named.length,
					}),
			};
		})
		.sort((left, right) => (left.place ?? Number.POSITIVE_INFINITY) - (right.place ?? Number.POSITIVE_INFINITY) || left.instance.localeCompare(right.instance));
}

function namedReason({isIsolated, load}: {readonly isIsolated: boolean; readonly load: number}): string {
	return `named: live, ${formatLoad(load)}${isIsolated ? ', cut off from this instance' : ''}`;
}

interface LeftOutReasonOptions {
	readonly state: string;
	readonly isAlive: boolean;
	readonly isIsolated: boolean;
	readonly load: number;
	/** Number of instances that the look-up returns. */
	readonly count: number;
}

function leftOutReason({state, isAlive, isIsolated, load, count}: LeftOutReasonOptions): string {
	if (state !== 'live') {
		return `left out: ${state}`;
	}

	if (!isAlive) {
		return 'left out: considered dead';
	}

	return `left out: ${formatLoad(load)}${isIsolated ? ', cut off from this instance' : ''}; the ${count} named are nearer or have more free capacity`;
}

function formatLoad(load: number): string {
	return `load ${Math.round(load * PERCENT)} %`;
}
