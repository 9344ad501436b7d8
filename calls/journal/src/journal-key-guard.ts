/** Runs each keyed call at most once, by the journal's word. */
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
import {SHARDS} from './journal.js';
import {toJournalKey} from './journal-key.js';
import {toKeptOutcome, toKeyedAnswer} from './kept-outcome.js';
import type {OwnerCalls} from './owner-calls.js';

const RETRY_AFTER_MS = 1000;
const BEGIN_BUDGET_MS = 2000;
const POLL_MS = 50;
const MOST_POLL_MS = 400;
/** Time kept back from a copy's deadline, so that its refusal still arrives. */
const ANSWER_RESERVE_MS = 50;
const RECORD_BUDGET_MS = 5000;
const RECORD_PAUSE_MS = 250;
const READ_BUDGET_MS = 2000;

/** Options of {@link JournalKeyGuard}. */
export interface JournalKeyGuardOptions {
	readonly owners: OwnerCalls;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly shards?: number;
	readonly onEvent: (name: string) => void;
}

interface Copy {
	readonly key: JournalKey;
	readonly fingerprint: string;
	readonly token: string;
	readonly deadlineMs: number;
	readonly signal: AbortSignal;
	/** Questions that no owner has answered, and answers that leave the intent undecided. */
	undecided: number;
}

/** Admits keyed calls through the journal. */
export class JournalKeyGuard implements KeyGuard {
	readonly #options: JournalKeyGuardOptions;
	readonly #recording = new Set<Promise<void>>();

	constructor(options: JournalKeyGuardOptions) {
		this.#options = options;
	}

	/** Asks whether the call may be run. Never throws. */
	readonly begin = async ({key, service, fingerprint, deadlineMs, signal}: BeginKeyedCallOptions): Promise<Either<Refusal, KeyedRun>> => {
		const journalKey = toJournalKey({key, service, shards: this.#options.shards ?? SHARDS});
		if (!journalKey) {
			return Left({reason: 'bad-request', execution: 'not-run', detail: `idempotency-key: expected 1 to 255 visible ASCII characters, found ${key.length}`});
		}

		const copy: Copy = {
			key: journalKey, fingerprint, token: randomUUID(), deadlineMs, signal, undecided: 0,
		};
		for (let pollMs = POLL_MS; ; pollMs = Math.min(MOST_POLL_MS, pollMs * 2)) {
			const response = await this.#ask(copy);
			const mustWait = response?.verdict === BeginVerdict.IN_FLIGHT && !signal.aborted && this.#options.now() + pollMs < deadlineMs - ANSWER_RESERVE_MS;
			if (!mustWait) {
				return this.#conclude({copy, response});
			}

			await sleep(pollMs);
		}
	};

	/** Reads what is known of a key; undefined for a malformed key or when no owner answers. */
	async readOutcome({key, service}: {readonly key: string; readonly service: ServiceName}): Promise<ReadOutcomeResponse | undefined> {
		const journalKey = toJournalKey({key, service, shards: this.#options.shards ?? SHARDS});
		if (!journalKey) {
			return undefined;
		}

		const request = create(ReadOutcomeRequestSchema, {key: journalKey});
		const {answers} = await this.#options.owners.readOutcome({request, deadlineMs: this.#options.now() + READ_BUDGET_MS});
		return answers.at(-1);
	}

	/** Resolves when all outcomes handed over so far are kept or given up. */
	async drain(): Promise<void> {
		await Promise.all(this.#recording);
	}

	async #ask(copy: Copy): Promise<BeginResponse | undefined> {
		const {key, fingerprint, token, deadlineMs} = copy;
		const {owners, now} = this.#options;
		const timeLeftMs = Math.max(0, Math.floor(deadlineMs - now()));
		const request = create(BeginRequestSchema, {
			key, fingerprint, token, timeLeftMs,
		});
		const {answers, unanswered} = await owners.begin({request, deadlineMs: Math.min(deadlineMs - ANSWER_RESERVE_MS, now() + BEGIN_BUDGET_MS)});
		copy.undecided += unanswered + answers.filter(({mayBeKept}) => mayBeKept).length;
		return answers.at(-1);
	}

	#conclude({copy, response}: {readonly copy: Copy; readonly response: BeginResponse | undefined}): Either<Refusal, KeyedRun> {
		switch (response?.verdict) {
			case BeginVerdict.RUN: {
				return Right({
					kind: 'run', finish: async outcome => this.#finish({copy, outcome}),
				});
			}

			case BeginVerdict.REPLAY: {
				const answer = toKeyedAnswer(response.outcome!);
				return answer
					? Right({kind: 'replay', outcome: answer})
					: Left({
						reason: 'key-outcome-unknown', execution: 'ran', detail: `an earlier copy was answered ${response.outcome!.status}; its body was too large to keep`,
					});
			}

			case BeginVerdict.CONFLICT: {
				return Left({reason: 'key-conflict', execution: 'not-run', detail: 'idempotency-key: the key was used with another request'});
			}

			case BeginVerdict.IN_FLIGHT: {
				return Left({
					reason: 'key-in-flight', execution: 'unknown', detail: 'another copy of the call may still be running', retryAfterMs: RETRY_AFTER_MS,
				});
			}

			case BeginVerdict.UNKNOWN: {
				return Left({reason: 'key-outcome-unknown', execution: 'unknown', detail: 'an earlier copy may have been run and its outcome is lost; no copy is run again'});
			}

			case BeginVerdict.EXPIRED: {
				return Left({reason: 'key-expired', execution: 'unknown', detail: 'the key is older than the records that are kept; this copy was not run'});
			}

			case BeginVerdict.EARLY: {
				return Left({reason: 'bad-request', execution: 'not-run', detail: 'idempotency-key: the time in the key lies in the future'});
			}

			default: {
				return Left(this.#giveUp(copy));
			}
		}
	}

	/** The intent is not known to be kept: this copy is never dispatched, and the journal is told so when it can be. */
	#giveUp(copy: Copy): Refusal {
		if (copy.undecided > 0) {
			void this.#finish({copy, outcome: {execution: 'not-run'}});
		}

		return {
			reason: 'journal-unavailable', execution: 'not-run', detail: 'the intent to run the call cannot be kept now', retryAfterMs: RETRY_AFTER_MS,
		};
	}

	/** Hands the outcome over; the caller's answer does not wait for it to be kept. */
	async #finish({copy, outcome}: {readonly copy: Copy; readonly outcome: KeyedOutcome}): Promise<void> {
		const recording = this.#record({copy, outcome});
		this.#recording.add(recording);
		void this.#forget(recording);
	}

	async #forget(recording: Promise<void>): Promise<void> {
		await recording;
		this.#recording.delete(recording);
	}

	async #record({copy: {key, token}, outcome}: {readonly copy: Copy; readonly outcome: KeyedOutcome}): Promise<void> {
		const {owners, now, onEvent} = this.#options;
		const request = create(FinishRequestSchema, {key, token, outcome: toKeptOutcome(outcome)});
		const untilMs = now() + RECORD_BUDGET_MS;
		while (now() < untilMs) {
			const {answers} = await owners.finish({request, deadlineMs: untilMs});
			if (answers.at(-1)?.isKept) {
				return;
			}

			await sleep(RECORD_PAUSE_MS);
		}

		onEvent('journal.outcome-lost');
	}
}
