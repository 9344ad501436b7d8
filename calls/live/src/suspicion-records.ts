/** Records that instances share about requests that crash backend servers. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {RequestFingerprint, ServerCrash} from '@pomelopick/calls.quarantine';
import type {CodedError, InstanceId} from '@pomelopick/core.types';
import {formatValue} from './broadcast-message.js';
import type {ViewChange} from './view-change.js';
import type {RecordReader} from './record-reader.js';

/** Prefix of the keys under which instances write their records. */
export const SUSPICION_PREFIX = 'pomelopick/suspicions/';

const FINGERPRINT_PATTERN = /^[\da-f]{64}$/u;

/** A record of one instance: the crash of a server (`death`), or that a suspect request ran without a crash (`cleared`). */
export type SuspicionRecord =
	| CrashRecord
	| {readonly kind: 'cleared'; readonly origin: InstanceId; readonly sequence: number; readonly fingerprint: RequestFingerprint};

interface CrashRecord extends Omit<ServerCrash, 'atMs'> {
	readonly kind: 'death';
}

/** Decodes a record; Left describes what is wrong with it. */
export function decodeSuspicion(bytes: Uint8Array): Either<CodedError, SuspicionRecord> {
	try {
		return readSuspicion(JSON.parse(new TextDecoder().decode(bytes)));
	} catch (error) {
		return Left({code: 'malformed-suspicion', message: (error as Error).message});
	}
}

/** Validates a record of parsed JSON; Left describes what is wrong with it. */
export function readSuspicion(value: unknown): Either<CodedError, SuspicionRecord> {
	const record = (value ?? {}) as SuspicionRecord;
	const hasOrigin = typeof record.origin === 'string' && Number.isInteger(record.sequence);
	const isValidKind = record.kind === 'death' ? isCrashRecord(record) : record.kind === 'cleared' && isFingerprint(record.fingerprint);
	return hasOrigin && isValidKind ? Right(record) : Left({code: 'malformed-suspicion', message: `a field is missing or has the wrong type: ${formatValue(value)}`});
}

function isCrashRecord({server, startedAtMs, fingerprints}: CrashRecord): boolean {
	const hasStart = startedAtMs === undefined || Number.isInteger(startedAtMs);
	return typeof server === 'string' && hasStart && Array.isArray(fingerprints) && fingerprints.every(text => isFingerprint(text));
}

/** Options of {@link suspicionReader}. */
export interface SuspicionReaderOptions extends Pick<RecordReader, 'remove'> {
	readonly onRecord: (record: SuspicionRecord) => void;
	/** Called for each malformed record. */
	readonly onMalformed: (change: ViewChange) => void;
}

/** Creates a reader of the records of all instances, including this one. */
export function suspicionReader({onRecord, onMalformed, remove}: SuspicionReaderOptions): RecordReader {
	return {
		prefix: SUSPICION_PREFIX,
		remove,
		write({key, value, modifyIndex}) {
			decodeSuspicion(value).ifLeft(({message}) => {
				onMalformed({
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
