/** Messages by which records travel from instance to instance without the store. */
import {Either, Left} from 'purify-ts';
import {describeValue} from '@pomelopick/core.types';
import type {CodedError, InstanceId} from '@pomelopick/core.types';

/** Kinds of records; each has its own path, and its name is a part of the error codes. */
export type BroadcastSubject = 'suspicions' | 'rate-limits' | 'server-warmups';

/** Message from one instance to another. */
export interface BroadcastMessage<Item> {
	readonly records: readonly Item[];
	/** Instances to which the receiver forwards the records. */
	readonly passOn: readonly InstanceId[];
}

/** Options of {@link readBroadcastMessage}. */
export interface ReadBroadcastMessageOptions<Item> {
	readonly subject: BroadcastSubject;
	/** Parsed JSON. */
	readonly value: unknown;
	/** Validates one record. */
	readonly readRecord: (value: unknown) => Either<CodedError, Item>;
}

/** Path of the messages about a subject. */
export function broadcastPath(subject: BroadcastSubject): string {
	return `/${subject}`;
}

/** Validates a message; Left describes what is wrong with it. */
export function readBroadcastMessage<Item>({subject, value, readRecord}: ReadBroadcastMessageOptions<Item>): Either<CodedError, BroadcastMessage<Item>> {
	const {records, passOn} = (value ?? {}) as Partial<BroadcastMessage<unknown>>;
	if (!Array.isArray(records) || !Array.isArray(passOn) || !passOn.every(id => typeof id === 'string')) {
		return Left({code: `malformed-${subject}`, message: `records, passOn: expected arrays, found ${describeValue(value)}`});
	}

	return Either.sequence(records.map(record => readRecord(record))).map(read => ({records: read, passOn: passOn as InstanceId[]}));
}
