/** Checks a whole set as one and reports everything that is wrong with it. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ConfigurationSet} from '@pomelopick/core.types';
import {checkReferences} from './references.js';
import {checkRules} from './rules.js';
import {brandSet, configurationSetSchema} from './schema.js';
import type {ConfigurationFault} from './fault.js';

/** Checks the shape, the references and the rules of a set; Left carries every fault found. */
export function checkConfigurationSet(input: unknown): Either<readonly ConfigurationFault[], ConfigurationSet> {
	const parsed = configurationSetSchema.safeParse(input);
	if (!parsed.success) {
		return Left(parsed.error.issues.map(issue => ({
			code: 'bad-shape' as const,
			path: formatPath(issue.path),
			found: describeValue(valueAt({input, path: issue.path})),
			message: issue.message,
		})));
	}

	const set = brandSet(parsed.data);
	const faults = [...checkReferences(set), ...checkRules(set)];
	return faults.length === 0 ? Right(set) : Left(faults);
}

function valueAt({input, path}: {readonly input: unknown; readonly path: readonly PropertyKey[]}): unknown {
	let value = input;
	for (const key of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return value;
}

function formatPath(path: readonly PropertyKey[]): string {
	return path.map(key => typeof key === 'number' ? `[${key}]` : `.${String(key)}`).join('').replace(/^\./u, '') || '(root)';
}

function describeValue(value: unknown): string {
	return value === undefined ? 'nothing' : JSON.stringify(value).slice(0, 80);
}
