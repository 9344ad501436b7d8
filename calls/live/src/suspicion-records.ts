/** Records of what instances saw of requests that crash backend servers. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {RequestFingerprint, ServerDeath} from '@pomelopick/calls.quarantine';
import type {CodedError, InstanceId} from '@pomelopick/core.types';
import type {BeliefChange} from './belief-change.js';
import type {RecordReader} from './record-reader.js';

/** Prefix of the keys under which instances write what they saw. */
export const SUSPICION_PREFIX = 'pomelopick/suspicions/';

const FINGERPRINT_PATTERN = /^[\da-f]{64}$/u;
const SHOWN_CHARACTERS = 200;

/** What one instance saw. */
export type SuspicionRecord =
	| DeathRecord
	| {readonly kind: 'cleared'; readonly origin: InstanceId; readonly sequence: number; readonly fingerprint: RequestFingerprint};

interface DeathRecord extends Omit<ServerDeath, 'atMs'> {
	readonly kind: 'death';
}

/** Decodes a record; Left says what is wrong with it. */
export function decodeSuspicion(bytes: Uint8Array): Either<CodedError, SuspicionRecord> {
	try {
		const record = JSON.parse(new TextDecoder().decode(bytes)) as SuspicionRecord;
		const isWhole = typeof record.origin === 'string' && Number.isInteger(record.sequence);
		const isDeath = record.kind === 'death' && typeof record.server === 'string' && (record.startedAtMs === undefined || Number.isInteger(record.startedAtMs)) && Array.isArray(record.fingerprints) && record.fingerprints.every(text => isFingerprint(text));
		const isCleared = record.kind === 'cleared' && isFingerprint(record.fingerprint);
		const message = `a field is missing or of another type: ${JSON.stringify(record).slice(0, SHOWN_CHARACTERS)}`;
		return isWhole && (isDeath || isCleared) ? Right(record) : Left({code: 'malformed-suspicion', message});
	} catch (error) {
		return Left({code: 'malformed-suspicion', message: (error as Error).message});
	}
}

/** Options of {@link suspicionReader}. */
export interface SuspicionReaderOptions extends Pick<RecordReader, 'remove'> {
	readonly onRecord: (record: SuspicionRecord) => void;
	/** Told of each record that cannot be read. */
	readonly onRefused: (change: BeliefChange) => void;
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
