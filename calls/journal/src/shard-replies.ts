/** Replies of a shard to the messages that it processes in rounds. */
import {create} from '@bufbuild/protobuf';
import {
	BeginResponseSchema, BeginVerdict, FinishResponseSchema, OutcomeState, ReadOutcomeResponseSchema,
} from '@pomelopick/peer.protocol';
import type {BeginResponse, ReadOutcomeRequest, ReadOutcomeResponse} from '@pomelopick/peer.protocol';
import type {WaitingMessage} from './shard-messages.js';
import type {JournalRecord, CopyCheckResult, ShardTable} from './shard-table.js';

/** Status of a recorded outcome: the call was certainly not run. Real responses have HTTP status codes. */
export const NOT_RUN_STATUS = 0;
/** Status of a recorded outcome: the call may have been run, but its response is not known. */
export const UNKNOWN_STATUS = 1;

/** Options of {@link toReadOutcome}. */
export interface ToReadOutcomeOptions {
	readonly request: ReadOutcomeRequest;
	readonly table: ShardTable;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link rejectMessage}. */
export interface RejectMessageOptions {
	readonly message: WaitingMessage;
	/** Whether an intent of the message may have been written although the write failed. */
	readonly mayBeKept: boolean;
	/** Result of checking a copy against the records; undefined when the log was never read, or the message is not a request to run a copy. */
	readonly result: CopyCheckResult | undefined;
}

/** Replies to messages whose entries were written to the log. */
export function confirmWritten(messages: readonly WaitingMessage[]): void {
	for (const message of messages) {
		if (message.kind === 'begin') {
			message.reply(create(BeginResponseSchema, {verdict: BeginVerdict.RUN}));
		} else if (message.kind === 'finish') {
			message.reply(create(FinishResponseSchema, {isKept: true}));
		}
	}
}

/** Replies to a message that could not be served because of the store. */
export function rejectMessage({message, mayBeKept, result}: RejectMessageOptions): void {
	switch (message.kind) {
		case 'begin': {
			const isUndetermined = result === undefined || result.kind === 'absent' || result.kind === 'granted';
			message.reply(isUndetermined ? create(BeginResponseSchema, {verdict: BeginVerdict.UNAVAILABLE, mayBeKept}) : toBeginResponse(result));
			break;
		}

		case 'finish': {
			message.reply(create(FinishResponseSchema, {isKept: false}));
			break;
		}

		case 'read-outcome': {
			message.reply(create(ReadOutcomeResponseSchema, {state: OutcomeState.UNAVAILABLE}));
			break;
		}
	}
}

/** Builds the response to a request for the state of a key. */
export function toReadOutcome({request, table, nowMs}: ToReadOutcomeOptions): ReadOutcomeResponse {
	const record = table.get(request.key!.digest);
	if (!record) {
		return create(ReadOutcomeResponseSchema, {state: table.isExpired(request.key!) ? OutcomeState.EXPIRED : OutcomeState.ABSENT});
	}

	if (record.outcome && record.outcome.status !== UNKNOWN_STATUS) {
		return create(ReadOutcomeResponseSchema, {state: OutcomeState.RAN, outcome: record.outcome});
	}

	const isInFlight = !record.outcome && nowMs < record.inFlightUntilMs;
	return create(ReadOutcomeResponseSchema, {state: isInFlight ? OutcomeState.IN_FLIGHT : OutcomeState.UNKNOWN});
}

/** Whether a record already has an outcome that a new one with the given status must not replace: only an unknown outcome is replaced, and only by a known one. */
export function isSettled({record, status}: {readonly record: JournalRecord; readonly status: number}): boolean {
	return record.outcome !== undefined && (record.outcome.status !== UNKNOWN_STATUS || status <= UNKNOWN_STATUS);
}

/** Converts the result of checking a copy to the response to its request. */
export function toBeginResponse(result: CopyCheckResult): BeginResponse {
	const verdicts: Record<CopyCheckResult['kind'], BeginVerdict> = {
		absent: BeginVerdict.UNSPECIFIED,
		granted: BeginVerdict.RUN,
		conflict: BeginVerdict.CONFLICT,
		'in-flight': BeginVerdict.IN_FLIGHT,
		unknown: BeginVerdict.UNKNOWN,
		expired: BeginVerdict.EXPIRED,
		replay: BeginVerdict.REPLAY,
	};
	return create(BeginResponseSchema, {verdict: verdicts[result.kind], outcome: result.kind === 'replay' ? result.outcome : undefined});
}
