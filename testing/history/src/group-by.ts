/** Groups items by a key, in the order of their first occurrence. */
export function groupBy<Item, Key>(items: readonly Item[], keyOf: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		const group = groups.get(key);
		if (group) {
			group.push(item);
		} else {
			groups.set(key, [item]);
		}
	}

	return groups;
}
