/** What a change of the set moves, and whether the slots that stay have room for it. */
import type {
	ConfigurationSet, RegionName, ServiceName, ServiceUseReport,
} from '@pomelopick/core.types';
import {listDrainedServers} from '@pomelopick/steering.choice';
import {Topology} from '@pomelopick/steering.lookup';

/** Part of the slots that the preview fills at most, so that a burst still finds room. */
const MOST_FILL = 0.9;

/** One service in one region before and after. */
export interface PreviewRow {
	readonly service: string;
	readonly region: string;
	/** Slots of the servers that take new calls. */
	readonly slotsBefore: number;
	readonly slotsAfter: number;
	/** Calls that run there now; undefined when no instance was asked. */
	readonly callsInProgress: number | undefined;
	/** Calls that must run elsewhere after the change. */
	readonly displaced: number;
	/** Displaced calls of other regions that fit here. */
	readonly taken: number;
}

/** Calls that find no room after the change. */
export interface Shortage {
	readonly service: string;
	readonly region: string;
	/** Calls, or slots when no use is known. */
	readonly missing: number;
	readonly detail: string;
}

/** What a change does. */
export interface Preview {
	readonly rows: readonly PreviewRow[];
	readonly shortages: readonly Shortage[];
	/** Whether the calls in progress of the fleet are known. */
	readonly isUseKnown: boolean;
	/** Caps that change. */
	readonly caps: ReadonlyArray<{readonly shift: string; readonly before: number | undefined; readonly after: number | undefined}>;
}

/** Options of {@link previewChange}. */
export interface PreviewChangeOptions {
	readonly before: ConfigurationSet;
	readonly after: ConfigurationSet;
	/** Calls in progress over the fleet; undefined when no instance was asked. */
	readonly use: readonly ServiceUseReport[] | undefined;
}

/** Compares two sets. Displaced calls go along the spill rules, as calls of a full region do. */
export function previewChange({before, after, use}: PreviewChangeOptions): Preview {
	const slotsBefore = countSlots(before);
	const slotsAfter = countSlots(after);
	const rows: PreviewRow[] = [];
	const shortages: Shortage[] = [];
	for (const {name: service} of after.services) {
		const moved = moveCalls({
			set: after, service, slots: slotsAfter, use,
		});
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

		shortages.push(...moved.shortages, ...findLostService({
			service, before: slotsBefore, after: slotsAfter, set: after,
		}));
	}

	return {
		rows, shortages, isUseKnown: use !== undefined, caps: compareCaps({before, after}),
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
}

interface MoveCallsOptions {
	readonly set: ConfigurationSet;
	readonly service: ServiceName;
	readonly slots: ReadonlyMap<string, number>;
	readonly use: readonly ServiceUseReport[] | undefined;
}

/** Keeps each region's calls where they fit and moves the rest to the regions that its spill rule names. */
function moveCalls({set, service, slots, use = []}: MoveCallsOptions): MovedCalls {
	const calls = new Map(use.filter(entry => entry.service === service).map(({region, callsInProgress}) => [region as RegionName, callsInProgress]));
	const roomOf = (region: RegionName): number => Math.floor((slots.get(keyOf({service, region})) ?? 0) * MOST_FILL);
	const room = new Map(set.regions.map(({name}) => [name, Math.max(0, roomOf(name) - (calls.get(name) ?? 0))]));
	const displaced = new Map<RegionName, number>();
	const taken = new Map<RegionName, number>();
	const shortages: Shortage[] = [];
	for (const [region, count] of calls) {
		const slotsHere = slots.get(keyOf({service, region})) ?? 0;
		let left = Math.max(0, count - slotsHere);
		displaced.set(region, left);
		const to = set.spillRules.find(rule => rule.service === service && rule.from === region)?.to ?? [];
		for (const target of to) {
			const fitting = Math.min(left, room.get(target) ?? 0);
			room.set(target, (room.get(target) ?? 0) - fitting);
			taken.set(target, (taken.get(target) ?? 0) + fitting);
			left -= fitting;
		}

		if (left > 0) {
			shortages.push({
				service, region, missing: left, detail: `${service}: ${left} of ${count} calls in ${region} find no room in ${to.join(', ') || 'any region, since no spill rule leads on'}`,
			});
		}
	}

	return {
		calls, displaced, taken, shortages,
	};
}

interface FindLostServiceOptions {
	readonly set: ConfigurationSet;
	readonly service: ServiceName;
	readonly before: ReadonlyMap<string, number>;
	readonly after: ReadonlyMap<string, number>;
}

/** A service or a region of it that keeps no slot and has nowhere to go, whatever its use. */
function findLostService({set, service, before, after}: FindLostServiceOptions): Shortage[] {
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
