/** Records of what instances saw of requests that crash backend servers. */
import {Either, Left, Right} from 'purify-ts';
import type {RequestFingerprint, ServerCrash} from '@pomelopick/calls.quarantine';
import type {CodedError, InstanceId} from '@pomelopick/core.types';
import type {ViewChange} from './view-change.js';
import type {RecordReader} from './record-reader.js';

/** Prefix of the keys under which instances write what they saw. */
export const SUSPICION_PREFIX = 'pomelopick/suspicions/';

const FINGERPRINT_PATTERN = /^[\da-f]{64}$/u;
const SHOWN_CHARACTERS = 200;

/** What one instance saw. */
export type SuspicionRecord =
	| CrashRecord
	| {readonly kind: 'cleared'; readonly origin: InstanceId; readonly sequence: number; readonly fingerprint: RequestFingerprint};

interface CrashRecord extends Omit<ServerCrash, 'atMs'> {
	readonly kind: 'death';
}

/** What one instance tells another directly. */
export interface SuspicionMessage {
	readonly records: readonly SuspicionRecord[];
	/** Instances to which the one that takes the message passes it on. */
	readonly passOn: readonly InstanceId[];
}

/** Decodes a record; Left says what is wrong with it. */
export function decodeSuspicion(bytes: Uint8Array): Either<CodedError, SuspicionRecord> {
	try {
		return readSuspicion(JSON.parse(new TextDecoder().decode(bytes)));
	} catch (error) {
		return Left({code: 'malformed-suspicion', message: (error as Error).message});
	}
}

/** Reads a message from parsed JSON; Left says what is wrong with it. */
export function readSuspicionMessage(value: unknown): Either<CodedError, SuspicionMessage> {
	const {records, passOn} = (value ?? {}) as Partial<SuspicionMessage>;
	if (!Array.isArray(records) || !Array.isArray(passOn) || !passOn.every(id => typeof id === 'string')) {
		return Left({code: 'malformed-suspicions', message: `records, passOn: expected lists, found ${formatValue(value)}`});
	}

	return Either.sequence(records.map(record => readSuspicion(record))).map(read => ({records: read, passOn: passOn as InstanceId[]}));
}

function readSuspicion(value: unknown): Either<CodedError, SuspicionRecord> {
	const record = (value ?? {}) as SuspicionRecord;
	const isWhole = typeof record.origin === 'string' && Number.isInteger(record.sequence);
	const isRead = record.kind === 'death' ? isCrashRecord(record) : record.kind === 'cleared' && isFingerprint(record.fingerprint);
	return isWhole && isRead ? Right(record) : Left({code: 'malformed-suspicion', message: `a field is missing or of another type: ${formatValue(value)}`});
}

function isCrashRecord({server, startedAtMs, fingerprints}: CrashRecord): boolean {
	const hasStart = startedAtMs === undefined || Number.isInteger(startedAtMs);
	return typeof server === 'string' && hasStart && Array.isArray(fingerprints) && fingerprints.every(text => isFingerprint(text));
}

function formatValue(value: unknown): string {
	return (JSON.stringify(value) ?? 'nothing').slice(0, SHOWN_CHARACTERS);
}

/** Options of {@link suspicionReader}. */
export interface SuspicionReaderOptions extends Pick<RecordReader, 'remove'> {
	readonly onRecord: (record: SuspicionRecord) => void;
	/** Told of each record that cannot be read. */
	readonly onRefused: (change: ViewChange) => void;
}

/** Reads the records of all instances, this one's own included. */
export function suspicionReader({onRecord, onRefused, remove}: SuspicionReaderOptions): RecordReader {
	return {
		prefix: SUSPICION_PREFIX,
		remove,
		write({key, value, modifyIndex}) {
			decodeSuspicion(value).ifLeft(({message}) => {
				onRefused({
					event: 'suspicion-refused', subject: key, detail: message, storeIndex: modifyIndex,
				});
			}).ifRight(record => {
				onRecord(record);
			});
		},
	};
}

function isFingerprint(text: unknown): boolean {
	return typeof text === 'string' && FINGERPRINT_PATTERN.test(text);
}
