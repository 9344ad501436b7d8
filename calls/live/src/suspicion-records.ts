/** Records that instances share about requests that crash backend servers. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {
	CrashEvidence, RequestFingerprint, RunSpan, ServerCrash,
} from '@pomelopick/calls.quarantine';
import {decodeForeignJson, describeValue} from '@pomelopick/core.types';
import type {BackendServerName, CodedError, InstanceId} from '@pomelopick/core.types';
import type {ViewChange} from './view-change.js';
import type {RecordReader} from './record-reader.js';

/** Prefix of the keys under which instances write their records. */
export const SUSPICION_PREFIX = 'pomelopick/suspicions/';

/** Maximum size of a record in the store, in bytes. */
const MAX_RECORD_BYTES = 65_536;
/** Maximum number of requests of one crash; instances write at most 64. */
const MAX_FINGERPRINTS = 64;
const knownEvidence: readonly CrashEvidence[] = ['connection-lost', 'unreachable', 'restarted', 'removed'];
const FINGERPRINT_PATTERN = /^[\da-f]{64}$/u;

/** A record of one instance: the crash of a server (`death`), or that a server answered a suspect (`cleared`). */
export type SuspicionRecord =
	| CrashRecord
	| {readonly kind: 'cleared'; readonly origin: InstanceId; readonly sequence: number; readonly fingerprint: RequestFingerprint};

interface CrashRecord extends Omit<ServerCrash, 'atMs'> {
	readonly kind: 'death';
}

/** Decodes a record; Left describes what is wrong with it. Never throws. */
export function decodeSuspicion(bytes: Uint8Array): Either<CodedError, SuspicionRecord> {
	return decodeForeignJson({bytes, maxBytes: MAX_RECORD_BYTES}).chain<CodedError, SuspicionRecord>(value => readSuspicion(value));
}

/** Validates a record of parsed JSON and returns its known fields alone; Left describes what is wrong with it. Never throws. */
export function readSuspicion(value: unknown): Either<CodedError, SuspicionRecord> {
	const {kind, origin, sequence, server, startedAtMs, fingerprint, fingerprints, spans, evidence} = (value ?? {}) as Partial<Record<keyof CrashRecord | 'fingerprint', unknown>>;
	if (typeof origin === 'string' && isWhole(sequence)) {
		if (kind === 'cleared' && isFingerprint(fingerprint)) {
			return Right({
				kind, origin: origin as InstanceId, sequence, fingerprint,
			});
		}

		if (kind === 'death' && typeof server === 'string' && (startedAtMs === undefined || isWhole(startedAtMs)) && areFingerprints(fingerprints)) {
			return Right({
				kind,
				origin: origin as InstanceId,
				sequence,
				server: server as BackendServerName,
				startedAtMs,
				fingerprints,
				spans: areSpans(spans) && spans.length === fingerprints.length ? spans : undefined,
				evidence: knownEvidence.find(known => known === evidence),
			});
		}
	}

	return Left({code: 'malformed-suspicion', message: `a field is missing or has the wrong type: ${describeValue(value)}`});
}

function isWhole(value: unknown): value is number {
	return Number.isSafeInteger(value);
}

function areSpans(value: unknown): value is readonly RunSpan[] {
	return Array.isArray(value) && value.every(span => isSpan(span));
}

function isSpan(value: unknown): value is RunSpan {
	const {fromMs, toMs} = (value ?? {}) as Partial<RunSpan>;
	return Number.isFinite(fromMs) && Number.isFinite(toMs);
}

function areFingerprints(value: unknown): value is readonly RequestFingerprint[] {
	return Array.isArray(value) && value.length <= MAX_FINGERPRINTS && value.every(text => isFingerprint(text));
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
			decodeSuspicion(value).ifLeft(({code, message}) => {
				onMalformed({
					event: 'suspicion-refused', subject: key, detail: message, reason: code, storeIndex: modifyIndex,
				});
			}).ifRight(record => {
				onRecord(record);
			});
		},
	};
}

function isFingerprint(text: unknown): text is RequestFingerprint {
	return typeof text === 'string' && FINGERPRINT_PATTERN.test(text);
}
