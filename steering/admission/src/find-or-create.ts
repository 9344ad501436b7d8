/** Finds values of maps that are created on first use. */

/** Options of {@link findOrCreate}. */
export interface FindOrCreateOptions<Key, Value> {
	readonly map: Map<Key, Value>;
	readonly key: Key;
	readonly create: () => Value;
}

/** Returns the value of a key; creates and keeps it if there is none. */
export function findOrCreate<Key, Value>({map, key, create}: FindOrCreateOptions<Key, Value>): Value {
	let value = map.get(key);
	if (value === undefined) {
		value = create();
		map.set(key, value);
	}

	return value;
}
