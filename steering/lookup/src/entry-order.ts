/** Orders the entry instances that a caller should use. */
import type {FailureDomainName, Instance} from '@pomelopick/core.types';
import type {Topology} from './topology.js';

/** An instance that may be listed, with its load and liveness. */
export interface EntryCandidate {
	readonly instance: Instance;
	/** Utilisation of its call limit, from 0 to 1. */
	readonly load: number;
	/** False when the membership considers it crashed. */
	readonly alive: boolean;
}

/** Options of {@link groupEntries}. */
export interface GroupEntriesOptions {
	readonly candidates: readonly EntryCandidate[];
	/** Failure domain nearest to the caller; undefined when it is unknown. */
	readonly near: FailureDomainName | undefined;
	readonly topology: Topology;
}

/** Usable instances in groups of equal delay, nearest first. */
export type EntryGroups = ReadonlyArray<readonly Instance[]>;

/** Options of {@link listEntries}. */
export interface ListEntriesOptions {
	readonly groups: EntryGroups;
	/** Number derived from the caller, so that callers in one place start at different instances. */
	readonly spread: number;
	/** Maximum number of instances to list. */
	readonly most: number;
}

/** Options of {@link orderEntries}. */
export type OrderEntriesOptions = GroupEntriesOptions & Omit<ListEntriesOptions, 'groups'>;

/** Load from which an instance is not listed while others have free capacity. */
const FULL_LOAD = 0.95;

/** Lists usable instances, nearest first; callers in one place are spread over the instances with the same delay. */
export function orderEntries({spread, most, ...options}: OrderEntriesOptions): readonly Instance[] {
	return listEntries({groups: groupEntries(options), spread, most});
}

/** Groups the instances for callers in one place; the groups are the same for all of them until a candidate changes. */
export function groupEntries({candidates, near, topology}: GroupEntriesOptions): EntryGroups {
	const usable = candidates.filter(({instance, alive}) => alive && instance.state === 'live');
	const withCapacity = usable.filter(({load}) => load < FULL_LOAD);
	const byDelay = new Map<number, Instance[]>();
	for (const {instance} of withCapacity.length > 0 ? withCapacity : usable) {
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

/** Lists instances group by group, each group in an order that depends on the caller. */
export function listEntries({groups, spread, most}: ListEntriesOptions): readonly Instance[] {
	const listed: Instance[] = [];
	for (const group of groups) {
		for (let index = 0; index < group.length; index += 1) {
			if (listed.length >= most) {
				return listed;
			}

			listed.push(group[indexAt({position: index, size: group.length, spread})]!);
		}
	}

	return listed;
}

/**
 * Index in a group of the instance at a position of the caller's order.
 *
 * The first one follows from the caller's number, and the others begin at a second offset that follows from it too. So
 * the callers of an instance that fails are spread over all other instances.
 */
function indexAt({position, size, spread}: {readonly position: number; readonly size: number; readonly spread: number}): number {
	const first = spread % size;
	if (position === 0) {
		return first;
	}

	const others = size - 1;
	const offset = Math.floor(spread / size) % others;
	return (first + 1 + ((offset + position - 1) % others)) % size;
}
