/** Checks the shape of some objects of one list of a configuration set. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {z} from 'zod';
import {objectSchemas} from './schema.js';

const listSchemas = new Map(Object.entries(objectSchemas).map(([kind, schema]) => [kind, z.array(schema)]));

/** Options of {@link checkObjects}. */
export interface CheckObjectsOptions {
	/** Name of the list that the objects belong to, such as `services`. */
	readonly kind: string;
	readonly objects: unknown;
}

/** Checks the shape of the objects without cross-checks against the rest of the set; Left describes the first fault. */
export function checkObjects({kind, objects}: CheckObjectsOptions): Either<string, readonly unknown[]> {
	const schema = listSchemas.get(kind);
	if (!schema) {
		return Left(`expected the name of a list of the configuration set, found ${JSON.stringify(kind)}`);
	}

	const parsed = schema.safeParse(objects);
	return parsed.success ? Right(parsed.data) : Left(`${kind}: ${parsed.error.issues[0]?.message ?? 'invalid shape'}`);
}
