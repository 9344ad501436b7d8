/** What an upstream tells the instances that follow it, and its form on the wire between instances. */
import {Buffer} from 'node:buffer';
import * as z from 'zod/mini';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {CodedError} from '@pomelopick/core.types';
import type {StoreChange} from '@pomelopick/platform.store';

/** The store's changes as an upstream knows them. */
export interface RelayedChanges {
	readonly kind: 'changes';
	readonly changes: readonly StoreChange[];
	/** Index of the store up to which the changes reach. */
	readonly index: number;
	/** Time since the store's word on which this rests, in milliseconds. */
	readonly ageMs: number;
	/** Time since the store answered the upstream again after it had failed, in milliseconds; undefined: not of late. */
	readonly returnedMs: number | undefined;
}

/** What an upstream answers: changes, or why it has none to give. */
export type UpstreamAnswer =
	| RelayedChanges
	/** It no longer keeps the changes that were asked for. */
	| {readonly kind: 'history-lost'}
	/** It has no word of the store itself, or is about to stop. */
	| {readonly kind: 'unavailable'};

const changeSchema = z.union([
	z.object({key: z.string(), index: z.int(), value: z.string()}),
	z.object({key: z.string(), index: z.int(), removed: z.literal(true)}),
]);

const answerSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('changes'), index: z.int(), ageMs: z.number().check(z.nonnegative()), returnedMs: z.optional(z.number().check(z.nonnegative())), changes: z.array(changeSchema),
	}),
	z.object({kind: z.literal('history-lost')}),
	z.object({kind: z.literal('unavailable')}),
]);

/** Encodes an answer as JSON. */
export function encodeUpstreamAnswer(answer: UpstreamAnswer): string {
	return JSON.stringify(answer.kind === 'changes' ? {...answer, changes: answer.changes.map(change => toMessage(change))} : answer);
}

/** Decodes an answer; Left says which field is wrong. */
export function decodeUpstreamAnswer(text: string): Either<CodedError, UpstreamAnswer> {
	try {
		const parsed = z.safeParse(answerSchema, JSON.parse(text));
		if (!parsed.success) {
			const issue = parsed.error.issues[0]!;
			return Left({code: 'malformed-upstream-answer', message: `${issue.path.join('.') || '(root)'}: ${issue.message}`});
		}

		return Right(parsed.data.kind === 'changes' ? {...parsed.data, returnedMs: parsed.data.returnedMs, changes: parsed.data.changes.map(message => toChange(message))} : parsed.data);
	} catch (error) {
		return Left({code: 'malformed-upstream-answer', message: (error as Error).message});
	}
}

function toMessage(change: StoreChange): z.output<typeof changeSchema> {
	return change.kind === 'written'
		? {key: change.value.key, index: change.value.modifyIndex, value: Buffer.from(change.value.value).toString('base64')}
		: {key: change.key, index: change.modifyIndex, removed: true};
}

function toChange(message: z.output<typeof changeSchema>): StoreChange {
	return 'value' in message
		? {kind: 'written', value: {key: message.key, value: Buffer.from(message.value, 'base64'), modifyIndex: message.index}}
		: {kind: 'removed', key: message.key, modifyIndex: message.index};
}
