/** The objects of a faulty set whose own shape is sound. */
import type {ConfigurationSet} from '@pomelopick/core.types';
import type {ConfigurationFault} from './fault.js';
import {brandSet, objectSchemas} from './schema.js';

type Kind = keyof typeof objectSchemas;

const INDEXED_KIND = /(?<kind>[a-zA-Z]+)\[(?<index>\d+)\]/gu;

/** The sound part of a set. */
export interface SoundPart {
	/** The sound objects; their positions differ from those of the input. */
	readonly set: ConfigurationSet;
	/** Turns the positions in a fault into those of the input. */
	readonly restore: (fault: ConfigurationFault) => ConfigurationFault;
	/** Whether any object of the input, sound or not, has this name; the name is rendered as JSON. */
	readonly isNamed: (renderedName: string) => boolean;
}

/** Keeps the sound objects of each list. */
export function keepSoundObjects(input: unknown): SoundPart {
	const positions = new Map<string, number[]>();
	const names = new Set<string>();
	const lists = Object.fromEntries((Object.keys(objectSchemas) as Kind[]).map(kind => {
		const kept: unknown[] = [];
		const keptPositions: number[] = [];
		for (const [index, object] of listOf({input, kind}).entries()) {
			const name = (object as {readonly name?: unknown} | undefined)?.name;
			names.add(JSON.stringify(name));
			const parsed = objectSchemas[kind].safeParse(object);
			if (parsed.success) {
				kept.push(parsed.data);
				keptPositions.push(index);
			}
		}

		positions.set(kind, keptPositions);
		return [kind, kept];
	}));
	const restoreText = (text: string): string => text.replaceAll(INDEXED_KIND, (whole: string, kind: string, index: string) => {
		const position = positions.get(kind)?.[Number(index)];
		return position === undefined ? whole : `${kind}[${position}]`;
	});
	return {
		set: brandSet(lists as unknown as Parameters<typeof brandSet>[0]),
		restore: fault => ({...fault, path: restoreText(fault.path), message: restoreText(fault.message)}),
		isNamed: renderedName => names.has(renderedName),
	};
}

function listOf({input, kind}: {readonly input: unknown; readonly kind: Kind}): readonly unknown[] {
	const list = (input as Readonly<Record<string, unknown>> | undefined)?.[kind];
	return Array.isArray(list) ? list as readonly unknown[] : [];
}
