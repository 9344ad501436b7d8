/** Extracts the objects of valid shape from a configuration set that has faults. */
import type {ConfigurationSet} from '@pomelopick/core.types';
import type {ConfigurationFault} from './fault.js';
import {brandSet, objectSchemas} from './schema.js';

type ListName = keyof typeof objectSchemas;

const INDEXED_LIST = /(?<kind>[a-zA-Z]+)\[(?<index>\d+)\]/gu;

/** The objects of valid shape of a configuration set. */
export interface ValidPart {
	/** The valid objects; their positions may differ from those in the input. */
	readonly set: ConfigurationSet;
	/** Replaces the positions in a fault by those in the input. */
	readonly restore: (fault: ConfigurationFault) => ConfigurationFault;
	/** Whether any object of the input, valid or not, has this name; the name is given as JSON. */
	readonly isNamed: (jsonName: string) => boolean;
}

/** Collects the objects of valid shape of each list. */
export function extractValidPart(input: unknown): ValidPart {
	const positions = new Map<string, number[]>();
	const names = new Set<string>();
	const lists = Object.fromEntries((Object.keys(objectSchemas) as ListName[]).map(kind => {
		const validObjects: unknown[] = [];
		const validPositions: number[] = [];
		for (const [index, object] of objectsOf({input, kind}).entries()) {
			const name = (object as {readonly name?: unknown} | undefined)?.name;
			names.add(JSON.stringify(name));
			const parsed = objectSchemas[kind].safeParse(object);
			if (parsed.success) {
				validObjects.push(parsed.data);
				validPositions.push(index);
			}
		}

		positions.set(kind, validPositions);
		return [kind, validObjects];
	}));
	const restorePositions = (text: string): string => text.replaceAll(INDEXED_LIST, (match: string, kind: string, index: string) => {
		const inputIndex = positions.get(kind)?.[Number(index)];
		return inputIndex === undefined ? match : `${kind}[${inputIndex}]`;
	});
	return {
		set: brandSet(lists as unknown as Parameters<typeof brandSet>[0]),
		restore: fault => ({...fault, path: restorePositions(fault.path), message: restorePositions(fault.message)}),
		isNamed: jsonName => names.has(jsonName),
	};
}

function objectsOf({input, kind}: {readonly input: unknown; readonly kind: ListName}): readonly unknown[] {
	const list = (input as Readonly<Record<string, unknown>> | undefined)?.[kind];
	return Array.isArray(list) ? list as readonly unknown[] : [];
}
