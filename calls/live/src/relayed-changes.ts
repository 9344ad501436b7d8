/** Answers of an upstream to the instances that follow it, and their encoding on the wire. */
import {Buffer} from 'node:buffer';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {describeValue, parseForeignJson} from '@pomelopick/core.types';
import type {CodedError} from '@pomelopick/core.types';
import {splitIndex, toIndex} from '@pomelopick/platform.store';
import type {StoreChange} from '@pomelopick/platform.store';

/** Changes in the store, as an upstream received them. */
export interface RelayedChanges {
	readonly kind: 'changes';
	readonly changes: readonly StoreChange[];
	/** Index of the store up to which the changes reach. */
	readonly index: number;
	/** Time since the store confirmed to the upstream that no changes are missing, in milliseconds. */
	readonly ageMs: number;
	/** Time since the store became available to the upstream again after a failure, in milliseconds; undefined: not recently. */
	readonly returnedMs: number | undefined;
}

/** Answer of an upstream: changes, or why it cannot provide any. */
export type UpstreamAnswer =
	| RelayedChanges
	/** It no longer keeps the requested changes. */
	| {readonly kind: 'history-lost'}
	/** The store is unavailable to it, or it is about to stop. */
	| {readonly kind: 'unavailable'};

/** A change on the wire; the change of a removed key has no value. */
interface ChangeMessage {
	readonly key: string;
	/** Revision within the era of the answer. */
	readonly index: number;
	/** Standard base64. */
	readonly value?: string;
}

/** Encodes an answer as JSON. All its indexes are of one era, which is stated once; instances of older builds ignore it. */
export function encodeUpstreamAnswer(answer: UpstreamAnswer): string {
	if (answer.kind !== 'changes') {
		return JSON.stringify(answer);
	}

	const {era, revision} = splitIndex(answer.index);
	return JSON.stringify({
		...answer, changes: answer.changes.map(change => toMessage(change)), index: revision, era,
	});
}

/** Options of {@link decodeUpstreamAnswer}. */
export interface DecodeUpstreamAnswerOptions {
	readonly text: string;
	/** Era of an answer that states none, as those of older builds; undefined: such an answer is refused. */
	readonly defaultEra: number | undefined;
}

/** Decodes an answer; Left names the wrong field. */
export function decodeUpstreamAnswer({text, defaultEra}: DecodeUpstreamAnswerOptions): Either<CodedError, UpstreamAnswer> {
	try {
		return parseForeignJson(text).map(value => readAnswer({message: (value ?? {}) as Readonly<Record<string, unknown>>, defaultEra}));
	} catch (error) {
		return Left({code: 'malformed-upstream-answer', message: (error as Error).message});
	}
}

/** Throws a `TypeError` that names the wrong field. Fields are checked by hand for speed, since every instance decodes every change here. */
function readAnswer({message, defaultEra}: {readonly message: Readonly<Record<string, unknown>>; readonly defaultEra: number | undefined}): UpstreamAnswer {
	const {kind, changes, index, era = defaultEra, ageMs, returnedMs} = message;
	switch (kind) {
		case 'history-lost':
		case 'unavailable': {
			return {kind};
		}

		case 'changes': {
			if (!Array.isArray(changes)) {
				throw wrongField({field: 'changes', expected: 'an array', found: changes});
			}

			return {
				kind,
				changes: changes.map((change, position) => toChange({message: (change ?? {}) as Partial<ChangeMessage>, era, field: `changes.${position}`})),
				index: readIndex({field: 'index', era, found: index}),
				ageMs: readNumber({field: 'ageMs', found: ageMs}),
				returnedMs: returnedMs === undefined ? undefined : readNumber({field: 'returnedMs', found: returnedMs}),
			};
		}

		default: {
			throw wrongField({field: 'kind', expected: 'changes, history-lost or unavailable', found: kind});
		}
	}
}

function readIndex({field, era, found}: {readonly field: string; readonly era: unknown; readonly found: unknown}): number {
	try {
		return toIndex({era, revision: found});
	} catch (error) {
		throw new TypeError(`${field}: ${(error as Error).message}`);
	}
}

function readNumber({field, found}: {readonly field: string; readonly found: unknown}): number {
	if (typeof found !== 'number' || !Number.isFinite(found) || found < 0) {
		throw wrongField({field, expected: 'a number of at least 0', found});
	}

	return found;
}

function wrongField({field, expected, found}: {readonly field: string; readonly expected: string; readonly found: unknown}): TypeError {
	return new TypeError(`${field}: expected ${expected}, found ${describeValue(found)}`);
}

function toMessage(change: StoreChange): ChangeMessage {
	return change.kind === 'written'
		? {key: change.value.key, index: splitIndex(change.value.modifyIndex).revision, value: Buffer.from(change.value.value).toString('base64')}
		: {key: change.key, index: splitIndex(change.modifyIndex).revision};
}

function toChange({message: {key, index, value}, era, field}: {readonly message: Partial<ChangeMessage>; readonly era: unknown; readonly field: string}): StoreChange {
	if (typeof key !== 'string') {
		throw wrongField({field: `${field}.key`, expected: 'a string', found: key});
	}

	const modifyIndex = readIndex({field: `${field}.index`, era, found: index});
	return value === undefined ? {kind: 'removed', key, modifyIndex} : {kind: 'written', value: {key, value: Buffer.from(String(value), 'base64'), modifyIndex}};
}
