/** Replies of a shard to the messages that wait for it. */
import {create} from '@bufbuild/protobuf';
import {
	BeginResponseSchema, BeginVerdict, FinishResponseSchema, OutcomeState, ReadOutcomeResponseSchema,
} from '@pomelopick/peer.protocol';
import type {BeginResponse, ReadOutcomeRequest, ReadOutcomeResponse} from '@pomelopick/peer.protocol';
import type {WaitingMessage} from './shard-messages.js';
import type {JournalRecord, Judgement, ShardTable} from './shard-table.js';

/** Status of a kept outcome that surely was not run. */
export const NOT_RUN_STATUS = 0;
/** Status of a kept outcome of which nothing is known. */
export const UNKNOWN_STATUS = 1;

/** Options of {@link toReadOutcome}. */
export interface ToReadOutcomeOptions {
	readonly request: ReadOutcomeRequest;
	readonly table: ShardTable;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link refuse}. */
export interface RefuseOptions {
	readonly message: WaitingMessage;
	/** Whether an intent of the message may have been written all the same. */
	readonly mayBeKept: boolean;
	/** What the records say of a copy; undefined when they were never read. */
	readonly judgement: Judgement | undefined;
}

/** Answers messages whose entries are written. */
export function confirm(messages: readonly WaitingMessage[]): void {
	for (const message of messages) {
		if (message.kind === 'begin') {
			message.reply(create(BeginResponseSchema, {verdict: BeginVerdict.RUN}));
		} else if (message.kind === 'finish') {
			message.reply(create(FinishResponseSchema, {isKept: true}));
		}
	}
}

/** Answers a message that the store kept from being served. */
export function refuse({message, mayBeKept, judgement}: RefuseOptions): void {
	switch (message.kind) {
		case 'begin': {
			const isUnjudged = judgement === undefined || judgement.kind === 'absent' || judgement.kind === 'granted';
			message.reply(isUnjudged ? create(BeginResponseSchema, {verdict: BeginVerdict.UNAVAILABLE, mayBeKept}) : toResponse(judgement));
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

/** What the records say of a key. */
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

/** Whether a record has an outcome that one of this status does not replace. */
export function isSettled({record, status}: {readonly record: JournalRecord; readonly status: number}): boolean {
	return record.outcome !== undefined && (record.outcome.status !== UNKNOWN_STATUS || status <= UNKNOWN_STATUS);
}

/** A judgement as the copy receives it. */
export function toResponse(judgement: Judgement): BeginResponse {
	const verdicts: Record<Judgement['kind'], BeginVerdict> = {
		absent: BeginVerdict.UNSPECIFIED,
		granted: BeginVerdict.RUN,
		conflict: BeginVerdict.CONFLICT,
		'in-flight': BeginVerdict.IN_FLIGHT,
		unknown: BeginVerdict.UNKNOWN,
		expired: BeginVerdict.EXPIRED,
		replay: BeginVerdict.REPLAY,
	};
	return create(BeginResponseSchema, {verdict: verdicts[judgement.kind], outcome: judgement.kind === 'replay' ? judgement.outcome : undefined});
}
