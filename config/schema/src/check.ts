/** Checks a whole configuration set and reports all of its faults. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {describeValue} from '@pomelopick/core.types';
import type {ConfigurationSet} from '@pomelopick/core.types';
import {checkReferences} from './references.js';
import {checkRules} from './rules.js';
import {brandSet, configurationSetSchema} from './schema.js';
import {extractValidPart} from './valid-part.js';
import type {ConfigurationFault} from './fault.js';

/** Checks the shape, the references and the rules of a set; Left contains all faults found. */
export function checkConfigurationSet(input: unknown): Either<readonly ConfigurationFault[], ConfigurationSet> {
	const parsed = configurationSetSchema.safeParse(input);
	if (!parsed.success) {
		const shapeFaults = parsed.error.issues.map((issue): ConfigurationFault => ({
			code: 'bad-shape',
			path: formatPath(issue.path),
			found: describeValue(valueAt({input, path: issue.path})),
			message: issue.message,
		}));
		return Left([...shapeFaults, ...crossCheckValidPart(input)]);
	}

	const set = brandSet(parsed.data);
	const faults = crossCheck(set);
	return faults.length === 0 ? Right(set) : Left(faults);
}

/**
 * Cross-checks the objects whose shape is valid, so that faults across objects are reported together with the bad shapes.
 * A reference is not reported as unknown if an object of bad shape has that name, as that object is reported itself.
 */
function crossCheckValidPart(input: unknown): readonly ConfigurationFault[] {
	const {set, restore, isNamed} = extractValidPart(input);
	return crossCheck(set)
		.filter(({code, found}) => code !== 'unknown-name' || !isNamed(found))
		.map(fault => restore(fault));
}

function crossCheck(set: ConfigurationSet): readonly ConfigurationFault[] {
	return [...checkReferences(set), ...checkRules(set)];
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
