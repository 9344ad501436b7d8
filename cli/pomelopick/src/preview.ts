/** Predicts which calls a configuration change moves, and whether the remaining slots have capacity for them. */
import type {ConfigurationSet, RegionName, ServiceName} from '@pomelopick/core.types';
import {listDrainedServers} from '@pomelopick/steering.choice';
import {Topology} from '@pomelopick/steering.lookup';
import type {EntryUse, FleetUse, ServiceUse} from './fleet-use.js';
import {listLinkRows} from './preview-links.js';
import type {LinkRow, RegionMove} from './preview-links.js';
import {listShiftMoves} from './preview-shifts.js';
import type {ShiftMove} from './preview-shifts.js';

/** Maximum share of the slots that the preview fills with moved calls, so that capacity remains for a burst. */
const MAX_UTILISATION = 0.9;

/** One service in one region, before and after the change. */
export interface PreviewRow {
	readonly service: string;
	readonly region: string;
	/** Slots of the servers that accept new calls. */
	readonly slotsBefore: number;
	readonly slotsAfter: number;
	/** Calls in progress in the region; undefined if no instance was queried. */
	readonly callsInProgress: number | undefined;
	/** Calls that must run in other regions after the change. */
	readonly displaced: number;
	/** Displaced calls of other regions that this region takes over. */
	readonly taken: number;
}

/** Capacity that is missing after the change. */
export interface Shortage {
	readonly service: string;
	readonly region: string;
	/** Missing calls or slots; 0 for a link. */
	readonly missing: number;
	readonly detail: string;
}

/** Effects of a change. */
export interface Preview {
	readonly rows: readonly PreviewRow[];
	readonly shortages: readonly Shortage[];
	/** Whether the current load of the fleet is known. */
	readonly isUseKnown: boolean;
	/** Shift caps that change. */
	readonly caps: ReadonlyArray<{readonly shift: string; readonly before: number | undefined; readonly after: number | undefined}>;
	/** Calls that shifts move because of the change. */
	readonly shiftMoves: readonly ShiftMove[];
	/** Load that the change adds to links. */
	readonly links: readonly LinkRow[];
	/** Entry instances in failure domains that the change drains; they continue to accept callers. */
	readonly entriesInDrainedDomains: readonly EntryUse[];
}

/** Options of {@link previewChange}. */
export interface PreviewChangeOptions {
	readonly before: ConfigurationSet;
	readonly after: ConfigurationSet;
	/** Current load of the fleet; undefined if no instance was queried. */
	readonly use: FleetUse | undefined;
}

/**
 * Compares two sets. Displaced calls move along the spill rules, as the calls of a full region do, and their rate is the
 * proportional part of their region's rate. The current load of a link is not known here; it is a shortage if the change alone
 * adds more than the service's share of the link.
 */
export function previewChange({before, after, use}: PreviewChangeOptions): Preview {
	const slotsBefore = countSlots(before);
	const slotsAfter = countSlots(after);
	const rows: PreviewRow[] = [];
	const shortages: Shortage[] = [];
	const regionMoves: RegionMove[] = [];
	const shiftMoves = listShiftMoves({before, after, services: use?.services ?? []});
	for (const {name: service} of after.services) {
		const moved = moveCalls({
			set: after, service, slots: slotsAfter, use: use?.services,
		});
		regionMoves.push(...moved.moves);
		shortages.push(...findFullTargets({moves: shiftMoves.filter(move => move.service === service), freeSlots: moved.freeSlots}));
		for (const {name: region} of after.regions) {
			const key = keyOf({service, region});
			const row: PreviewRow = {
				service,
				region,
				slotsBefore: slotsBefore.get(key) ?? 0,
				slotsAfter: slotsAfter.get(key) ?? 0,
				callsInProgress: use && (moved.calls.get(region) ?? 0),
				displaced: moved.displaced.get(region) ?? 0,
				taken: moved.taken.get(region) ?? 0,
			};
			rows.push(row);
		}

		shortages.push(...moved.shortages, ...findUnreachableService({
			service, before: slotsBefore, after: slotsAfter, set: after,
		}));
	}

	const links = listLinkRows({set: after, moves: [...regionMoves, ...shiftMoves]});
	return {
		rows,
		shortages: [...shortages, ...findFullLinks(links)],
		isUseKnown: use !== undefined,
		caps: compareCaps({before, after}),
		shiftMoves,
		links,
		entriesInDrainedDomains: findEntriesInDrainedDomains({before, after, entries: use?.entries ?? []}),
	};
}

function countSlots(set: ConfigurationSet): ReadonlyMap<string, number> {
	const topology = new Topology(set);
	const drained = listDrainedServers(set);
	const slots = new Map<string, number>();
	for (const server of set.backendServers) {
		if (!drained.has(server.name)) {
			const key = keyOf({service: server.service, region: topology.regionOfSite(server.site) ?? ''});
			slots.set(key, (slots.get(key) ?? 0) + server.slots);
		}
	}

	return slots;
}

interface MovedCalls {
	readonly calls: ReadonlyMap<RegionName, number>;
	readonly displaced: ReadonlyMap<RegionName, number>;
	readonly taken: ReadonlyMap<RegionName, number>;
	readonly shortages: readonly Shortage[];
	readonly moves: readonly RegionMove[];
	/** Slots that calls of other regions may still use, by region. */
	readonly freeSlots: ReadonlyMap<RegionName, number>;
}

interface MoveCallsOptions {
	readonly set: ConfigurationSet;
	readonly service: ServiceName;
	readonly slots: ReadonlyMap<string, number>;
	readonly use: readonly ServiceUse[] | undefined;
}

/** Keeps each region's calls in the region as far as its slots suffice, and moves the rest to the regions that its spill rule names. */
function moveCalls({set, service, slots, use = []}: MoveCallsOptions): MovedCalls {
	const calls = new Map(use.filter(entry => entry.service === service).map(({region, callsInProgress}) => [region as RegionName, callsInProgress]));
	const usableSlots = (region: RegionName): number => Math.floor((slots.get(keyOf({service, region})) ?? 0) * MAX_UTILISATION);
	const freeSlots = new Map(set.regions.map(({name}) => [name, Math.max(0, usableSlots(name) - (calls.get(name) ?? 0))]));
	const displaced = new Map<RegionName, number>();
	const taken = new Map<RegionName, number>();
	const shortages: Shortage[] = [];
	const moves: RegionMove[] = [];
	for (const [region, count] of calls) {
		const callsPerSecond = use.find(entry => entry.service === service && entry.region === region)?.callsPerSecond ?? 0;
		const slotsHere = slots.get(keyOf({service, region})) ?? 0;
		let left = Math.max(0, count - slotsHere);
		displaced.set(region, left);
		const to = set.spillRules.find(rule => rule.service === service && rule.from === region)?.to ?? [];
		for (const target of to) {
			const fitting = Math.min(left, freeSlots.get(target) ?? 0);
			freeSlots.set(target, (freeSlots.get(target) ?? 0) - fitting);
			taken.set(target, (taken.get(target) ?? 0) + fitting);
			left -= fitting;
			moves.push({
				service, from: region, to: target, callsPerSecond: count === 0 ? 0 : callsPerSecond * fitting / count,
			});
		}

		if (left > 0) {
			shortages.push({
				service, region, missing: left, detail: `${service}: ${left} of ${count} calls in ${region} do not fit in ${to.join(', ') || 'any other region, since no spill rule names one'}`,
			});
		}
	}

	return {
		calls, displaced, taken, shortages, moves, freeSlots,
	};
}

interface FindUnreachableServiceOptions {
	readonly set: ConfigurationSet;
	readonly service: ServiceName;
	readonly before: ReadonlyMap<string, number>;
	readonly after: ReadonlyMap<string, number>;
}

/** Finds the regions whose calls to the service can use no slot any more, in the region or along its spill rule, whatever the load. */
function findUnreachableService({set, service, before, after}: FindUnreachableServiceOptions): Shortage[] {
	return set.regions.flatMap(({name: region}) => {
		const lost = before.get(keyOf({service, region})) ?? 0;
		const to = set.spillRules.find(rule => rule.service === service && rule.from === region)?.to ?? [];
		const reachable = [region, ...to].reduce((sum, name) => sum + (after.get(keyOf({service, region: name})) ?? 0), 0);
		return lost > 0 && reachable === 0
			? [{
				service, region, missing: lost, detail: `${service}: no slot is left that calls of ${region} may use`,
			}]
			: [];
	});
}

/** Finds the shifts that move more calls to a region than it has free slots for. */
function findFullTargets({moves, freeSlots}: {readonly moves: readonly ShiftMove[]; readonly freeSlots: ReadonlyMap<RegionName, number>}): Shortage[] {
	return moves.flatMap(({shift, service, to, callsPerSecond, slots}) => {
		const free = freeSlots.get(to as RegionName) ?? 0;
		return slots > free
			? [{
				service, region: to, missing: slots - free, detail: `${service}: shift ${shift} brings ${callsPerSecond.toFixed(1)} calls/s to ${to}, about ${slots} slots; ${free} are free`,
			}]
			: [];
	});
}

/** Finds the links to which a change adds more load than the service's share. */
function findFullLinks(links: readonly LinkRow[]): Shortage[] {
	return links.flatMap(({service, from, to, addedBytesPerSecond, shareBytesPerSecond = Number.POSITIVE_INFINITY}) => addedBytesPerSecond > shareBytesPerSecond
		? [{
			service, region: to, missing: 0, detail: `${service}: the link from ${from} to ${to} would carry ${addedBytesPerSecond} B/s more; the service may use ${Math.floor(shareBytesPerSecond)}`,
		}]
		: []);
}

interface FindEntriesInDrainedDomainsOptions {
	readonly before: ConfigurationSet;
	readonly after: ConfigurationSet;
	readonly entries: readonly EntryUse[];
}

/** Returns the entry instances in failure domains that the change drains. */
function findEntriesInDrainedDomains({before, after, entries}: FindEntriesInDrainedDomainsOptions): readonly EntryUse[] {
	const drainedIn = (set: ConfigurationSet): ReadonlySet<string> => new Set(set.drains.filter(({target}) => target.kind === 'failureDomain').map(({target}) => target.name));
	const earlier = drainedIn(before);
	const drained = drainedIn(after);
	return entries.filter(({failureDomain}) => drained.has(failureDomain) && !earlier.has(failureDomain));
}

function compareCaps({before, after}: {readonly before: ConfigurationSet; readonly after: ConfigurationSet}): Preview['caps'] {
	const names = new Set([...before.shifts, ...after.shifts].map(({name}) => name));
	const capOf = (set: ConfigurationSet, name: string): number | undefined => set.shifts.find(shift => shift.name === name)?.capCallsPerSecond;
	return [...names]
		.map(name => ({shift: name, before: capOf(before, name), after: capOf(after, name)}))
		.filter(cap => cap.before !== cap.after);
}

function keyOf({service, region}: {readonly service: string; readonly region: string}): string {
	return `${service} ${region}`;
}
