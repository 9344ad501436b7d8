/** Orders the entry instances that a caller should use. */
import type {FailureDomainName, Instance} from '@pomelopick/core.types';
import type {Topology} from './topology.js';

/** An instance as the look-up sees it. */
export interface EntryCandidate {
	readonly instance: Instance;
	/** Part of its call limit in use, from 0 to 1. */
	readonly load: number;
	/** False when the membership believes it dead. */
	readonly alive: boolean;
}

/** Options of {@link groupEntries}. */
export interface GroupEntriesOptions {
	readonly candidates: readonly EntryCandidate[];
	/** Failure domain nearest to the caller; undefined when it is not known. */
	readonly near: FailureDomainName | undefined;
	readonly topology: Topology;
}

/** Usable instances in groups of equal delay, nearest first. */
export type EntryGroups = ReadonlyArray<readonly Instance[]>;

/** Options of {@link listEntries}. */
export interface ListEntriesOptions {
	readonly groups: EntryGroups;
	/** Number derived from the caller, so that callers of one place start at different instances. */
	readonly spread: number;
	readonly most: number;
}

/** Options of {@link orderEntries}. */
export type OrderEntriesOptions = GroupEntriesOptions & Omit<ListEntriesOptions, 'groups'>;

/** Load from which an instance is not named while others have room. */
const FULL_LOAD = 0.95;

/** The nearest usable instances first; callers of one place are spread over those at the same delay. */
export function orderEntries({spread, most, ...options}: OrderEntriesOptions): readonly Instance[] {
	return listEntries({groups: groupEntries(options), spread, most});
}

/** Groups what callers of one place may be told; the same for all of them until a candidate changes. */
export function groupEntries({candidates, near, topology}: GroupEntriesOptions): EntryGroups {
	const usable = candidates.filter(({instance, alive}) => alive && instance.state === 'live');
	const withRoom = usable.filter(({load}) => load < FULL_LOAD);
	const byDelay = new Map<number, Instance[]>();
	for (const {instance} of withRoom.length > 0 ? withRoom : usable) {
		const delayMs = near === undefined ? 0 : topology.delayMs({from: near, to: instance.failureDomain});
		const group = byDelay.get(delayMs);
		if (group) {
			group.push(instance);
		} else {
			byDelay.set(delayMs, [instance]);
		}
	}

	return [...byDelay]
		.sort(([left], [right]) => left - right)
		.map(([, group]) => group.sort((left, right) => left.id.localeCompare(right.id)));
}

/** Names instances group by group, each group in the caller's own order. */
export function listEntries({groups, spread, most}: ListEntriesOptions): readonly Instance[] {
	const named: Instance[] = [];
	for (const group of groups) {
		for (let index = 0; index < group.length; index += 1) {
			if (named.length >= most) {
				return named;
			}

			named.push(group[indexAt({position: index, size: group.length, spread})]!);
		}
	}

	return named;
}

/** Index of a caller's choice in a group: the first by its number, the others from a second start, so that the callers of an instance that fails go to all the others. */
function indexAt({position, size, spread}: {readonly position: number; readonly size: number; readonly spread: number}): number {
	const first = spread % size;
	if (position === 0) {
		return first;
	}

	const others = size - 1;
	const secondStart = Math.floor(spread / size) % others;
	return (first + 1 + ((secondStart + position - 1) % others)) % size;
}
