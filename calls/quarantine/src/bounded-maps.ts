/** Helpers for maps that are bounded, and for maps of sets. */

interface SetEntry<Key, Value> {
	readonly map: Map<Key, Set<Value>>;
	readonly key: Key;
	readonly value: Value;
}

/** Adds a value to the set of a key. */
export function addTo<Key, Value>({map, key, value}: SetEntry<Key, Value>): void {
	const values = map.get(key);
	if (values) {
		values.add(value);
	} else {
		map.set(key, new Set([value]));
	}
}

/** Removes a value from the set of a key, and the key with its last value. */
export function removeFrom<Key, Value>({map, key, value}: SetEntry<Key, Value>): void {
	const values = map.get(key);
	values?.delete(value);
	if (values?.size === 0) {
		map.delete(key);
	}
}

/** Drops the keys that were set first until a map has no more than so many. */
export function dropOldest<Key>({map, most}: {readonly map: Map<Key, unknown>; readonly most: number}): void {
	for (const key of map.keys()) {
		if (map.size <= most) {
			return;
		}

		map.delete(key);
	}
}

/** Drops the keys whose monotonic time, in milliseconds, lies so far back. */
export function dropExpired<Key>({map, afterMs, nowMs}: {readonly map: Map<Key, number>; readonly afterMs: number; readonly nowMs: number}): void {
	for (const [key, atMs] of map) {
		if (nowMs - atMs >= afterMs) {
			map.delete(key);
		}
	}
}
