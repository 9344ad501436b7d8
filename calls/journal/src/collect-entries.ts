/** Converts the messages of one round to entries of the shard's log. */
import {create} from '@bufbuild/protobuf';
import {
	BeginResponseSchema, BeginVerdict, FinishResponseSchema, JournalEntrySchema,
} from '@pomelopick/peer.protocol';
import type {JournalEntry} from '@pomelopick/peer.protocol';
import type {BeginMessage, FinishMessage, WaitingMessage} from './shard-messages.js';
import {
	isSettled, NOT_RUN_STATUS, toReadOutcome, toBeginResponse,
} from './shard-replies.js';
import type {ShardTable} from './shard-table.js';

/** Options of {@link collectEntries}. */
export interface CollectEntriesOptions {
	readonly messages: readonly WaitingMessage[];
	readonly table: ShardTable;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly wallClockMs: number;
}

/** Entries to write, and the messages that get their reply once the entries are written. */
export interface CollectedEntries {
	readonly entries: readonly JournalEntry[];
	readonly pendingMessages: readonly WaitingMessage[];
}

/** Replies to the messages that need no write; returns the entries of the others. */
export function collectEntries(options: CollectEntriesOptions): CollectedEntries {
	const claimed = new Map<string, string>();
	const entries: JournalEntry[] = [];
	const pendingMessages = options.messages.filter(message => {
		const entry = toEntry({...options, message, claimed});
		if (entry) {
			entries.push(entry);
		}

		return entry !== undefined;
	});
	return {entries, pendingMessages};
}

interface ToEntryOptions<Message> extends Omit<CollectEntriesOptions, 'messages'> {
	readonly message: Message;
	/** Fingerprints of the keys for which this round already has an intent. */
	readonly claimed: Map<string, string>;
}

function toEntry({message, ...options}: ToEntryOptions<WaitingMessage>): JournalEntry | undefined {
	switch (message.kind) {
		case 'begin': {
			return toIntentEntry({...options, message});
		}

		case 'finish': {
			return toEndEntry({...options, message});
		}

		default: {
			message.reply(toReadOutcome({request: message.request, table: options.table, nowMs: options.nowMs}));
			return undefined;
		}
	}
}

function toIntentEntry({message: {request, reply, signal}, claimed, table, nowMs, wallClockMs}: ToEntryOptions<BeginMessage>): JournalEntry | undefined {
	const {fingerprint, token, timeLeftMs} = request;
	const key = request.key!;
	if (signal?.aborted) {
		// Nobody would receive the permission to run, and the key would be blocked for later copies.
		reply(create(BeginResponseSchema, {verdict: BeginVerdict.UNAVAILABLE}));
		return undefined;
	}

	const result = table.checkCopy({
		key, fingerprint, token, nowMs,
	});
	if (result.kind !== 'absent') {
		reply(toBeginResponse(result));
		return undefined;
	}

	if (claimed.has(key.digest)) {
		reply(create(BeginResponseSchema, {verdict: claimed.get(key.digest) === fingerprint ? BeginVerdict.IN_FLIGHT : BeginVerdict.CONFLICT}));
		return undefined;
	}

	claimed.set(key.digest, fingerprint);
	const atMs = key.mintedAtMs > 0n ? key.mintedAtMs : BigInt(Math.floor(wallClockMs));
	return create(JournalEntrySchema, {digest: key.digest, token, change: {case: 'intent', value: {fingerprint, atMs, timeLeftMs}}});
}

function toEndEntry({message: {request: {key, token, outcome}, reply}, table}: ToEntryOptions<FinishMessage>): JournalEntry | undefined {
	const record = table.get(key!.digest);
	if (record?.token !== token || !outcome || isSettled({record, status: outcome.status})) {
		reply(create(FinishResponseSchema, {isKept: true}));
		return undefined;
	}

	return create(JournalEntrySchema, {
		digest: key!.digest, token, change: outcome.status === NOT_RUN_STATUS ? {case: 'release', value: {}} : {case: 'outcome', value: outcome},
	});
}
