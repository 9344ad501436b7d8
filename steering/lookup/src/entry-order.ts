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

/** Options of {@link orderEntries}. */
export interface OrderEntriesOptions {
	readonly candidates: readonly EntryCandidate[];
	/** Failure domain nearest to the caller; undefined when it is not known. */
	readonly near: FailureDomainName | undefined;
	readonly topology: Topology;
	/** Number derived from the caller, so that callers of one place start at different instances. */
	readonly spread: number;
	readonly most: number;
}

/** Load from which an instance is not named while others have room. */
const FULL_LOAD = 0.95;

/** The nearest usable instances first; callers of one place are spread over those at the same delay. */
export function orderEntries({candidates, near, topology, spread, most}: OrderEntriesOptions): readonly Instance[] {
	const usable = candidates.filter(({instance, alive}) => alive && instance.state === 'live');
	const withRoom = usable.filter(({load}) => load < FULL_LOAD);
	const named = withRoom.length > 0 ? withRoom : usable;
	const byDelay = groupBy({items: named, keyOf: ({instance}) => near === undefined ? 0 : topology.delayMs({from: near, to: instance.failureDomain})});
	return [...byDelay]
		.sort(([left], [right]) => left - right)
		.flatMap(([, group]) => rotate({group: [...group].sort((left, right) => left.instance.id.localeCompare(right.instance.id)), by: spread}))
		.slice(0, most)
		.map(({instance}) => instance);
}

function rotate<Item>({group, by}: {readonly group: readonly Item[]; readonly by: number}): Item[] {
	const start = by % group.length;
	return [...group.slice(start), ...group.slice(0, start)];
}

function groupBy<Item, Key>({items, keyOf}: {readonly items: readonly Item[]; readonly keyOf: (item: Item) => Key}): Map<Key, Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		groups.set(key, [...(groups.get(key) ?? []), item]);
	}

	return groups;
}
