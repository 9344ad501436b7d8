/** Helpers for maps of bounded size and for maps of sets. */

interface SetEntry<Key, Value> {
	readonly map: Map<Key, Set<Value>>;
	readonly key: Key;
	readonly value: Value;
}

/** Adds a value to the set stored under a key. */
export function addToSet<Key, Value>({map, key, value}: SetEntry<Key, Value>): void {
	const values = map.get(key);
	if (values) {
		values.add(value);
	} else {
		map.set(key, new Set([value]));
	}
}

/** Removes a value from the set stored under a key. A key whose set becomes empty is removed as well. */
export function removeFromSet<Key, Value>({map, key, value}: SetEntry<Key, Value>): void {
	const values = map.get(key);
	values?.delete(value);
	if (values?.size === 0) {
		map.delete(key);
	}
}

/** Removes the keys that were inserted first until the map has at most `maxSize` entries. */
export function dropOldest<Key>({map, maxSize}: {readonly map: Map<Key, unknown>; readonly maxSize: number}): void {
	for (const key of map.keys()) {
		if (map.size <= maxSize) {
			return;
		}

		map.delete(key);
	}
}

/** Removes the keys whose monotonic time is at least `afterMs` milliseconds before `nowMs`. */
export function dropExpired<Key>({map, afterMs, nowMs}: {readonly map: Map<Key, number>; readonly afterMs: number; readonly nowMs: number}): void {
	for (const [key, atMs] of map) {
		if (nowMs - atMs >= afterMs) {
			map.delete(key);
		}
	}
}
