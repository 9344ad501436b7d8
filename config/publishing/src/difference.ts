/** Compares two sets object by object. */
import type {ConfigurationSet} from '@pomelopick/core.types';

/** How one object differs. */
export interface ObjectDifference {
	/** Which list of the set it belongs to. */
	readonly kind: string;
	/** Name of the object; the prefix of a block of clients. */
	readonly name: string;
	readonly change: 'added' | 'removed' | 'changed';
	/** The object before; absent when it was added. */
	readonly before?: unknown;
	/** The object after; absent when it was removed. */
	readonly after?: unknown;
}

/** Lists the objects that differ, list by list. */
export function compareSets({before, after}: {readonly before: ConfigurationSet; readonly after: ConfigurationSet}): readonly ObjectDifference[] {
	const kinds = Object.keys(after) as Array<keyof ConfigurationSet>;
	return kinds.flatMap(kind => compareLists({kind, before: toMap([...before[kind]]), after: toMap([...after[kind]])}));
}

type ObjectsByName = ReadonlyMap<string, unknown>;

function compareLists({kind, before, after}: {readonly kind: string; readonly before: ObjectsByName; readonly after: ObjectsByName}): ObjectDifference[] {
	const removed = [...before].filter(([name]) => !after.has(name))
		.map(([name, object]): ObjectDifference => ({
			kind, name, change: 'removed', before: object,
		}));
	const others = [...after].flatMap(([name, object]): ObjectDifference[] => {
		const earlier = before.get(name);
		if (earlier === undefined) {
			return [{
				kind, name, change: 'added', after: object,
			}];
		}

		return JSON.stringify(earlier) === JSON.stringify(object)
			? []
			: [{
				kind, name, change: 'changed', before: earlier, after: object,
			}];
	});
	return [...removed, ...others];
}

function toMap(objects: ReadonlyArray<{readonly name: string} | {readonly prefix: string}>): ObjectsByName {
	return new Map(objects.map(object => ['name' in object ? object.name : object.prefix, object]));
}
