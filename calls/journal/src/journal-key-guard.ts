/** Runs each keyed call at most once, as the journal decides. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {
	BeginKeyedCallOptions, KeyedOutcome, KeyedRun, KeyGuard,
} from '@pomelopick/calls.forwarding';
import type {Refusal, ServiceName} from '@pomelopick/core.types';
import {
	BeginRequestSchema, BeginVerdict, FinishRequestSchema, ReadOutcomeRequestSchema,
} from '@pomelopick/peer.protocol';
import type {
	BeginResponse, JournalKey, ReadOutcomeResponse,
} from '@pomelopick/peer.protocol';
import {SHARD_COUNT} from './journal.js';
import {toJournalKey} from './journal-key.js';
import {toKeptOutcome, toKeyedResponse} from './kept-outcome.js';
import type {OwnerCalls} from './owner-calls.js';

const RETRY_AFTER_MS = 1000;
const BEGIN_TIMEOUT_MS = 2000;
const MIN_POLL_INTERVAL_MS = 50;
const MAX_POLL_INTERVAL_MS = 400;
/** Time reserved before a copy's deadline, so that its refusal still arrives. */
const RESPONSE_RESERVE_MS = 50;
const RECORD_TIMEOUT_MS = 5000;
const RECORD_RETRY_INTERVAL_MS = 250;
const READ_TIMEOUT_MS = 2000;

/** Options of {@link JournalKeyGuard}. */
export interface JournalKeyGuardOptions {
	readonly owners: OwnerCalls;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly shards?: number;
	readonly onEvent: (name: string) => void;
}

/** One copy of a keyed call. The token distinguishes its intent from those of other copies. */
interface CallCopy {
	readonly key: JournalKey;
	readonly fingerprint: string;
	readonly token: string;
	readonly deadlineMs: number;
	readonly signal: AbortSignal;
	/** Requests after which the intent may be recorded: those without a response, and those whose response leaves it open. */
	undecidedRequests: number;
}

/** Admits keyed calls through the journal. */
export class JournalKeyGuard implements KeyGuard {
	readonly #options: JournalKeyGuardOptions;
	readonly #pendingRecords = new Set<Promise<void>>();

	constructor(options: JournalKeyGuardOptions) {
		this.#options = options;
	}

	/** Requests permission to run the call; waits while an earlier copy is in flight. Never throws. */
	readonly begin = async ({key, service, fingerprint, deadlineMs, signal}: BeginKeyedCallOptions): Promise<Either<Refusal, KeyedRun>> => {
		const journalKey = toJournalKey({key, service, shards: this.#options.shards ?? SHARD_COUNT});
		if (!journalKey) {
			return Left({reason: 'bad-request', execution: 'not-run', detail: `idempotency-key: expected 1 to 255 visible ASCII characters, found ${key.length}`});
		}

		const copy: CallCopy = {
			key: journalKey, fingerprint, token: randomUUID(), deadlineMs, signal, undecidedRequests: 0,
		};
		for (let pollMs = MIN_POLL_INTERVAL_MS; ; pollMs = Math.min(MAX_POLL_INTERVAL_MS, pollMs * 2)) {
			const response = await this.#requestBegin(copy);
			const mustWait = response?.verdict === BeginVerdict.IN_FLIGHT && !signal.aborted && this.#options.now() + pollMs < deadlineMs - RESPONSE_RESERVE_MS;
			if (!mustWait) {
				return this.#toResult({copy, response});
			}

			await sleep(pollMs);
		}
	};

	/** Reads the state of a key; undefined for a malformed key or when no owner responds. */
	async readOutcome({key, service}: {readonly key: string; readonly service: ServiceName}): Promise<ReadOutcomeResponse | undefined> {
		const journalKey = toJournalKey({key, service, shards: this.#options.shards ?? SHARD_COUNT});
		if (!journalKey) {
			return undefined;
		}

		const request = create(ReadOutcomeRequestSchema, {key: journalKey});
		const {responses} = await this.#options.owners.readOutcome({request, deadlineMs: this.#options.now() + READ_TIMEOUT_MS});
		return responses.at(-1);
	}

	/** Resolves when all pending outcomes have been recorded or abandoned. */
	async drain(): Promise<void> {
		await Promise.all(this.#pendingRecords);
	}

	async #requestBegin(copy: CallCopy): Promise<BeginResponse | undefined> {
		const {key, fingerprint, token, deadlineMs} = copy;
		const {owners, now} = this.#options;
		const timeLeftMs = Math.max(0, Math.floor(deadlineMs - now()));
		const request = create(BeginRequestSchema, {
			key, fingerprint, token, timeLeftMs,
		});
		const {responses, unanswered} = await owners.begin({request, deadlineMs: Math.min(deadlineMs - RESPONSE_RESERVE_MS, now() + BEGIN_TIMEOUT_MS)});
		copy.undecidedRequests += unanswered + responses.filter(({mayBeKept}) => mayBeKept).length;
		return responses.at(-1);
	}

	#toResult({copy, response}: {readonly copy: CallCopy; readonly response: BeginResponse | undefined}): Either<Refusal, KeyedRun> {
		switch (response?.verdict) {
			case BeginVerdict.RUN: {
				return Right({
					kind: 'run', finish: async outcome => this.#finish({copy, outcome}),
				});
			}

			case BeginVerdict.REPLAY: {
				const keyedResponse = toKeyedResponse(response.outcome!);
				return keyedResponse
					? Right({kind: 'replay', outcome: keyedResponse})
					: Left({
						reason: 'key-outcome-unknown', execution: 'ran', detail: `an earlier copy got a response with status ${response.outcome!.status}, whose body was too large to keep`,
					});
			}

			case BeginVerdict.CONFLICT: {
				return Left({reason: 'key-conflict', execution: 'not-run', detail: 'idempotency-key: the key was used with a different request'});
			}

			case BeginVerdict.IN_FLIGHT: {
				return Left({
					reason: 'key-in-flight', execution: 'unknown', detail: 'another copy of the call may still be running', retryAfterMs: RETRY_AFTER_MS,
				});
			}

			case BeginVerdict.UNKNOWN: {
				return Left({reason: 'key-outcome-unknown', execution: 'unknown', detail: 'an earlier copy may have been run and its outcome was lost; no further copy is run'});
			}

			case BeginVerdict.EXPIRED: {
				return Left({reason: 'key-expired', execution: 'unknown', detail: 'idempotency-key: the key is older than the records that are kept; this copy was not run'});
			}

			case BeginVerdict.EARLY: {
				return Left({reason: 'bad-request', execution: 'not-run', detail: 'idempotency-key: the time in the key is in the future'});
			}

			default: {
				return Left(this.#abandon(copy));
			}
		}
	}

	/** Refuses a copy whose intent is not known to be recorded. It is never dispatched; if the intent may be recorded, `not-run` is recorded as its outcome. */
	#abandon(copy: CallCopy): Refusal {
		if (copy.undecidedRequests > 0) {
			void this.#finish({copy, outcome: {execution: 'not-run'}});
		}

		return {
			reason: 'journal-unavailable', execution: 'not-run', detail: 'the intent to run the call cannot be recorded at the moment', retryAfterMs: RETRY_AFTER_MS,
		};
	}

	/** Starts recording the outcome. The response to the caller does not wait for it. */
	async #finish({copy, outcome}: {readonly copy: CallCopy; readonly outcome: KeyedOutcome}): Promise<void> {
		const recording = this.#record({copy, outcome});
		this.#pendingRecords.add(recording);
		void this.#removeWhenDone(recording);
	}

	async #removeWhenDone(recording: Promise<void>): Promise<void> {
		await recording;
		this.#pendingRecords.delete(recording);
	}

	async #record({copy: {key, token}, outcome}: {readonly copy: CallCopy; readonly outcome: KeyedOutcome}): Promise<void> {
		const {owners, now, onEvent} = this.#options;
		const request = create(FinishRequestSchema, {key, token, outcome: toKeptOutcome(outcome)});
		const untilMs = now() + RECORD_TIMEOUT_MS;
		while (now() < untilMs) {
			const {responses} = await owners.finish({request, deadlineMs: untilMs});
			if (responses.at(-1)?.isKept) {
				return;
			}

			await sleep(RECORD_RETRY_INTERVAL_MS);
		}

		onEvent('journal.outcome-lost');
	}
}
