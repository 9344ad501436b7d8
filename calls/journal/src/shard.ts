/** One shard of the journal: decides which copies of calls may run, and writes their intents and outcomes in groups (frames). */
import {randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {BeginResponseSchema, BeginVerdict, JournalFrameSchema} from '@pomelopick/peer.protocol';
import type {JournalFrame} from '@pomelopick/peer.protocol';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import {collectEntries} from './collect-entries.js';
import {ShardLog} from './shard-log.js';
import type {BeginMessage, ShardMessage, WaitingMessage} from './shard-messages.js';
import {confirmWritten, rejectMessage, toBeginResponse} from './shard-replies.js';
import {ShardTable} from './shard-table.js';
import type {CopyCheckResult} from './shard-table.js';
import {WritePacer} from './write-pacer.js';

const MAX_WAITING_MESSAGES = 1024;
const MAX_ENTRIES_PER_FRAME = 512;
const MAX_WRITE_ATTEMPTS = 6;
const RATE_LIMIT_DELAY_MS = 100;
/** Time by which the time in a key may be ahead of the clock of this instance, in milliseconds. */
const MAX_CLOCK_SKEW_MS = 60_000;
/** Minimum step of the horizon, as a share of the lifetime of keys. */
const HORIZON_STEP_SHARE = 0.05;

/** Options of {@link Shard}. */
export interface ShardOptions {
	readonly store: KeyValueStore;
	readonly shard: number;
	/** Time for which a key's record is kept, in milliseconds. */
	readonly keyLifetimeMs: number;
	/** Size of the log's head above which it is archived, in bytes. */
	readonly maxHeadBytes?: number;
	/** Minimum time between two writes, in milliseconds. */
	readonly writeIntervalMs: () => number;
	/** Whether this instance comes first in the shard's order of owners, according to the instances that it knows. */
	readonly isFirstOwner: () => boolean;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Wall-clock time, in milliseconds since the epoch. It decides when records expire, never whether a copy may run. */
	readonly wallClock: () => number;
	/** Resolves after the given time, in milliseconds. */
	readonly sleep: (durationMs: number) => Promise<void>;
	/** Queues a continuation among the shard's messages, so that the two do not run concurrently. */
	readonly schedule: (proceed: () => void) => void;
	readonly onEvent: (name: string) => void;
}

/**
 * Serves one shard. Messages are processed in rounds, each with one write to the store. One round runs at a time; messages
 * that arrive meanwhile wait for the next one.
 */
export class Shard {
	readonly #options: ShardOptions;
	readonly #log: ShardLog;
	readonly #table = new ShardTable();
	readonly #waitingMessages: WaitingMessage[] = [];
	readonly #writePacer: WritePacer;
	#isBusy = false;
	#isLoaded = false;
	#nextStartAtMs = Number.POSITIVE_INFINITY;
	/** Whether a frame of the current round may have been written although the store's response was lost. */
	#isUndecided = false;

	constructor(options: ShardOptions) {
		this.#options = options;
		this.#log = new ShardLog(options);
		this.#writePacer = new WritePacer(options);
	}

	/** Takes a message. Its reply is called once, at once or after a round. */
	receive(message: ShardMessage): void {
		if (message.kind === 'step') {
			message.proceed();
			return;
		}

		if (this.#tryReplyWithoutRound(message)) {
			return;
		}

		if (this.#waitingMessages.length >= MAX_WAITING_MESSAGES || this.#writePacer.isFailing) {
			this.#reject({message, mayBeKept: false});
			return;
		}

		this.#waitingMessages.push(message);
		this.#startRound();
	}

	/** Whether the reply depends on what another owner may have written since the last read. */
	#needsRead(message: WaitingMessage): boolean {
		switch (message.kind) {
			case 'begin': {
				return ['in-flight', 'unknown'].includes(this.#checkCopy(message).kind);
			}

			case 'finish': {
				return this.#table.get(message.request.key!.digest)?.token !== message.request.token;
			}

			default: {
				return true;
			}
		}
	}

	#startRound(): void {
		if (this.#isBusy || this.#waitingMessages.length === 0) {
			return;
		}

		const startAtMs = this.#writePacer.nextStartAtMs({hasIntents: this.#waitingMessages.some(({kind}) => kind !== 'finish')});
		if (startAtMs <= this.#options.now()) {
			this.#isBusy = true;
			void this.#runRound();
		} else if (startAtMs < this.#nextStartAtMs) {
			this.#nextStartAtMs = startAtMs;
			void this.#startAt(startAtMs);
		}
	}

	async #startAt(startAtMs: number): Promise<void> {
		const {sleep, now, schedule} = this.#options;
		await sleep(Math.ceil(startAtMs - now()));
		schedule(() => {
			if (this.#nextStartAtMs === startAtMs) {
				this.#nextStartAtMs = Number.POSITIVE_INFINITY;
			}

			this.#startRound();
		});
	}

	/** Runs one round with the messages that wait, and starts the next one afterwards. */
	async #runRound(): Promise<void> {
		const round = this.#waitingMessages.splice(0, MAX_ENTRIES_PER_FRAME);
		this.#isUndecided = false;
		const unserved = await this.#processRound(round);
		const mayBeKept = this.#isUndecided;
		if (!this.#log.isFresh && this.#isLoaded && unserved.length === 0) {
			// The log is read ahead, so that the next round needs only one call to the store.
			await this.#log.refresh(this.#table).run();
		}

		this.#options.schedule(() => {
			for (const message of unserved) {
				this.#reject({message, mayBeKept});
			}

			this.#isBusy = false;
			this.#startRound();
		});
	}

	/** Processes a round; returns the messages that could not be served. */
	async #processRound(round: readonly WaitingMessage[]): Promise<readonly WaitingMessage[]> {
		let unserved = round;
		let mustRefresh = round.some(message => this.#needsRead(message));
		for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS && unserved.length > 0; attempt += 1) {
			if (!this.#log.isFresh || mustRefresh) {
				const refreshed = await this.#log.refresh(this.#table).run();
				if (refreshed.isLeft()) {
					if (!await this.#shouldRetry(refreshed.extract())) {
						return unserved;
					}

					continue;
				}

				this.#isLoaded = true;
				mustRefresh = false;
			}

			const {now, wallClock} = this.#options;
			const {entries, pendingMessages} = collectEntries({
				messages: unserved, table: this.#table, nowMs: now(), wallClockMs: wallClock(),
			});
			unserved = pendingMessages;
			if (entries.length === 0) {
				return unserved;
			}

			const frame = create(JournalFrameSchema, {id: randomUUID(), entries: [...entries]});

			const isWritten = await this.#write(frame);
			if (isWritten === undefined) {
				return unserved;
			}

			if (isWritten) {
				confirmWritten(unserved);
				return [];
			}
		}

		return unserved;
	}

	/** Writes a frame; returns whether it was written, or undefined when that is unknown. */
	async #write(frame: JournalFrame): Promise<boolean | undefined> {
		this.#writePacer.recordWrite();
		const appended = await this.#log.append({frame, horizonMs: this.#nextHorizonMs(), table: this.#table}).run();
		if (appended.isRight() && appended.extract()) {
			return true;
		}

		if (appended.isLeft() && !await this.#shouldRetry(appended.extract())) {
			return undefined;
		}

		// Either the response was lost or another owner wrote first; reading the log shows which.
		if (appended.isLeft()) {
			this.#options.onEvent('journal.answer-lost');
		} else {
			this.#options.onEvent('journal.overtaken');
			this.#writePacer.recordOvertaken();
		}

		const refreshed = await this.#log.refresh(this.#table).run();
		if (refreshed.isLeft()) {
			this.#writePacer.recordOutage();
			return undefined;
		}

		return this.#log.hasFrame(frame.id);
	}

	/** Replies to a copy without a round if no later write can change the result for it. */
	#tryReplyWithoutRound(message: WaitingMessage): boolean {
		if (message.kind !== 'begin' || !this.#isLoaded) {
			return false;
		}

		const {mintedAtMs} = message.request.key!;
		if (Number(mintedAtMs) > this.#options.wallClock() + MAX_CLOCK_SKEW_MS) {
			message.reply(create(BeginResponseSchema, {verdict: BeginVerdict.EARLY}));
			return true;
		}

		const result = this.#checkCopy(message);
		if (result.kind === 'replay' || result.kind === 'expired') {
			message.reply(toBeginResponse(result));
			return true;
		}

		return false;
	}

	#checkCopy({request}: BeginMessage): CopyCheckResult {
		return this.#table.checkCopy({
			key: request.key!, fingerprint: request.fingerprint, token: request.token, nowMs: this.#options.now(),
		});
	}

	/** Replies to a message that could not be served because of the store. It did not allow any copy to run. */
	#reject({message, mayBeKept}: {readonly message: WaitingMessage; readonly mayBeKept: boolean}): void {
		rejectMessage({message, mayBeKept, result: message.kind === 'begin' && this.#isLoaded ? this.#checkCopy(message) : undefined});
	}

	/**
	 * Whether a failed call to the store may be repeated. Waits after a rate limit. After any failure other than a rate limit
	 * or a lost response an outage is recorded, and messages are rejected at once for a while.
	 */
	async #shouldRetry({code}: StoreError): Promise<boolean> {
		this.#options.onEvent(`journal.store-${code}`);
		if (code === 'rate-limited') {
			await this.#options.sleep(RATE_LIMIT_DELAY_MS);
			return true;
		}

		if (code === 'undecided') {
			this.#isUndecided = true;
			return true;
		}

		this.#writePacer.recordOutage();
		return false;
	}

	/** Time up to which records expire. It advances in steps, so that not every write searches all records. */
	#nextHorizonMs(): number {
		const {keyLifetimeMs, wallClock} = this.#options;
		const wantedMs = Math.floor(wallClock()) - keyLifetimeMs;
		return wantedMs - this.#log.horizonMs > keyLifetimeMs * HORIZON_STEP_SHARE ? wantedMs : this.#log.horizonMs;
	}
}
