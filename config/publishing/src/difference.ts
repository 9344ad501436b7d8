/** Compares two configuration sets object by object. */
import type {ConfigurationSet} from '@pomelopick/core.types';

/** How one object differs. */
export interface ObjectDifference {
	/** List of the set that the object belongs to. */
	readonly kind: string;
	/** Name of the object; for a client block, its prefix. */
	readonly name: string;
	readonly change: 'added' | 'removed' | 'changed';
	/** The object in the earlier set; absent when it was added. */
	readonly before?: unknown;
	/** The object in the later set; absent when it was removed. */
	readonly after?: unknown;
}

/** Returns the objects that differ, grouped by list. Objects are matched by name. */
export function compareSets({before, after}: {readonly before: ConfigurationSet; readonly after: ConfigurationSet}): readonly ObjectDifference[] {
	const kinds = Object.keys(after) as Array<keyof ConfigurationSet>;
	return kinds.flatMap(kind => compareLists({kind, before: indexByName([...before[kind]]), after: indexByName([...after[kind]])}));
}

type ObjectsByName = ReadonlyMap<string, unknown>;

function compareLists({kind, before, after}: {readonly kind: string; readonly before: ObjectsByName; readonly after: ObjectsByName}): ObjectDifference[] {
	const removed = [...before].filter(([name]) => !after.has(name))
		.map(([name, object]): ObjectDifference => ({
			kind, name, change: 'removed', before: object,
		}));
	const addedOrChanged = [...after].flatMap(([name, object]): ObjectDifference[] => {
		const previous = before.get(name);
		if (previous === undefined) {
			return [{
				kind, name, change: 'added', after: object,
			}];
		}

		return JSON.stringify(previous) === JSON.stringify(object)
			? []
			: [{
				kind, name, change: 'changed', before: previous, after: object,
			}];
	});
	return [...removed, ...addedOrChanged];
}

function indexByName(objects: ReadonlyArray<{readonly name: string} | {readonly prefix: string}>): ObjectsByName {
	return new Map(objects.map(object => ['name' in object ? object.name : object.prefix, object]));
}
