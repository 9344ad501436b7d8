/** Checks the shape of a part of one list of a set. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {z} from 'zod';
import {objectSchemas} from './schema.js';

const listSchemas = new Map(Object.entries(objectSchemas).map(([kind, schema]) => [kind, z.array(schema)]));

/** Options of {@link checkObjects}. */
export interface CheckObjectsOptions {
	/** List of the set that the objects belong to. */
	readonly kind: string;
	readonly objects: unknown;
}

/** Checks objects alone, without the rest of their set; Left names the first fault. */
export function checkObjects({kind, objects}: CheckObjectsOptions): Either<string, readonly unknown[]> {
	const schema = listSchemas.get(kind);
	if (!schema) {
		return Left(`expected a list of a set, found ${JSON.stringify(kind)}`);
	}

	const parsed = schema.safeParse(objects);
	return parsed.success ? Right(parsed.data) : Left(`${kind}: ${parsed.error.issues[0]?.message ?? 'bad shape'}`);
}
