/** Checks the fields of JSON that was written outside this process. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {CodedError} from './coded-error.js';
import {describeValue} from './describe-value.js';

/** Maximum length of a name, in characters: operators name things in at most a few dozen. */
const MAX_NAME_CHARACTERS = 4096;

/** Whether a field has a usable value. */
export type FieldCheck = (value: unknown) => boolean;

/** Options of {@link readFields}. */
export interface ReadFieldsOptions<Shape> {
	/** Parsed JSON of any kind. */
	readonly value: unknown;
	/** Fields that are read, in the order in which they are checked. Further ones are ignored: later builds may add them. */
	readonly checks: {readonly [Field in keyof Shape]: FieldCheck};
	/** Code of the error. */
	readonly code: string;
	/** Where the value stands in the message, for the error; empty by default. */
	readonly path?: string;
}

/** Reads the fields of an object; Left names the first one that cannot be used, also when the value is no object. Never throws. */
export function readFields<Shape>({value, checks, code, path = ''}: ReadFieldsOptions<Shape>): Either<CodedError, Shape> {
	const fields = toFields<Shape>(value);
	const read: Partial<Shape> = {};
	for (const field of Object.keys(checks) as Array<keyof Shape & string>) {
		if (!checks[field](fields[field])) {
			return Left({code, message: `${path}${field}: missing or cannot be used: ${describeValue(fields[field])}`});
		}

		read[field] = fields[field];
	}

	return Right(read as Shape);
}

/** Fields of a value of parsed JSON, all of them unchecked; none when it is no object. */
export function toFields<Shape>(value: unknown): Partial<Shape> {
	return (value ?? {});
}

/** Entries of a value of parsed JSON, all of them unchecked; none when it is no list. */
export function toEntries(value: unknown): readonly unknown[] {
	return Array.isArray(value) ? value : [];
}

/** Whether a value is a name: a text of 1 to 4096 characters, or up to another maximum. */
export function isName(value: unknown, maxCharacters = MAX_NAME_CHARACTERS): value is string {
	return typeof value === 'string' && value.length > 0 && value.length <= maxCharacters;
}

/** Returns a check that a value is a whole number from `min` to `max`. */
export function isWithin({min, max}: {readonly min: number; readonly max: number}): (value: unknown) => value is number {
	return (value): value is number => Number.isSafeInteger(value) && (value as number) >= min && (value as number) <= max;
}

/** Returns a check that a value is a number, whole or not, from `min` to `max`. */
export function isNumberWithin({min, max}: {readonly min: number; readonly max: number}): (value: unknown) => value is number {
	return (value): value is number => typeof value === 'number' && value >= min && value <= max;
}

/** Whether a value is a whole number that is at least 0. */
export const isCount = isWithin({min: 0, max: Number.MAX_SAFE_INTEGER});
