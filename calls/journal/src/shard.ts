/** One shard of the journal: judges copies and commits intents and outcomes in groups. */
import {randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {BeginResponseSchema, BeginVerdict, JournalFrameSchema} from '@pomelopick/peer.protocol';
import type {JournalFrame} from '@pomelopick/peer.protocol';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import {collectEntries} from './collect-entries.js';
import {ShardLog} from './shard-log.js';
import type {BeginMessage, ShardMessage, WaitingMessage} from './shard-messages.js';
import {confirm, refuse, toResponse} from './shard-replies.js';
import {ShardTable} from './shard-table.js';
import type {Judgement} from './shard-table.js';
import {WritePace} from './write-pace.js';

const MOST_WAITING = 1024;
const MOST_ENTRIES_PER_FRAME = 512;
const MOST_TRIES = 6;
const RATE_LIMITED_PAUSE_MS = 100;
const EARLY_TOLERANCE_MS = 60_000;
const HORIZON_STEP_SHARE = 0.05;

/** Options of {@link Shard}. */
export interface ShardOptions {
	readonly store: KeyValueStore;
	readonly shard: number;
	/** Time for which a key's record is kept, in milliseconds. */
	readonly keyLifetimeMs: number;
	/** Size above which the head of the log is archived, in bytes. */
	readonly mostHeadBytes?: number;
	/** Least time between two writes, in milliseconds. */
	readonly writeIntervalMs: () => number;
	/** Whether this instance is the shard's best owner as far as it knows. */
	readonly isFirstOwner: () => boolean;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Wall-clock time, in milliseconds since the epoch; decides when records are dropped, never whether a copy is run. */
	readonly wallClock: () => number;
	/** Resolves after so many milliseconds. */
	readonly sleep: (durationMs: number) => Promise<void>;
	/** Runs a continuation in the order of the shard's messages. */
	readonly schedule: (proceed: () => void) => void;
	readonly onEvent: (name: string) => void;
}

/** Keeps one shard. One round of the store runs at a time; messages that arrive meanwhile wait for the next. */
export class Shard {
	readonly #options: ShardOptions;
	readonly #log: ShardLog;
	readonly #table = new ShardTable();
	readonly #waiting: WaitingMessage[] = [];
	readonly #pace: WritePace;
	#isBusy = false;
	#isLoaded = false;
	#wakesAtMs = Number.POSITIVE_INFINITY;
	/** Whether a frame of the round under way may have been written although its answer is lost. */
	#isUndecided = false;

	constructor(options: ShardOptions) {
		this.#options = options;
		this.#log = new ShardLog(options);
		this.#pace = new WritePace(options);
	}

	/** Takes a message; its reply is called once, now or when the store has answered. */
	receive(message: ShardMessage): void {
		if (message.kind === 'step') {
			message.proceed();
			return;
		}

		if (this.#tryAnswerAtOnce(message)) {
			return;
		}

		if (this.#waiting.length >= MOST_WAITING || this.#pace.isFailing) {
			this.#refuse({message, mayBeKept: false});
			return;
		}

		this.#waiting.push(message);
		this.#start();
	}

	/** Whether what another owner may have written matters for the answer. */
	#needsRead(message: WaitingMessage): boolean {
		switch (message.kind) {
			case 'begin': {
				return ['in-flight', 'unknown'].includes(this.#judge(message).kind);
			}

			case 'finish': {
				return this.#table.get(message.request.key!.digest)?.token !== message.request.token;
			}

			default: {
				return true;
			}
		}
	}

	#start(): void {
		if (this.#isBusy || this.#waiting.length === 0) {
			return;
		}

		const dueMs = this.#pace.dueMs({hasIntents: this.#waiting.some(({kind}) => kind !== 'finish')});
		if (dueMs <= this.#options.now()) {
			this.#isBusy = true;
			void this.#run();
		} else if (dueMs < this.#wakesAtMs) {
			this.#wakesAtMs = dueMs;
			void this.#wake(dueMs);
		}
	}

	async #wake(dueMs: number): Promise<void> {
		const {sleep, now, schedule} = this.#options;
		await sleep(Math.ceil(dueMs - now()));
		schedule(() => {
			if (this.#wakesAtMs === dueMs) {
				this.#wakesAtMs = Number.POSITIVE_INFINITY;
			}

			this.#start();
		});
	}

	/** Serves all that waits, one round of the store at a time. */
	async #run(): Promise<void> {
		const round = this.#waiting.splice(0, MOST_ENTRIES_PER_FRAME);
		this.#isUndecided = false;
		const left = await this.#serve(round);
		const mayBeKept = this.#isUndecided;
		if (!this.#log.isFresh && this.#isLoaded && left.length === 0) {
			// The index of the last write is fetched ahead, so that the next round needs one call to the store.
			await this.#log.refresh(this.#table).run();
		}

		this.#options.schedule(() => {
			for (const message of left) {
				this.#refuse({message, mayBeKept});
			}

			this.#isBusy = false;
			this.#start();
		});
	}

	/** Serves a round; answers the messages that could not be served. */
	async #serve(round: readonly WaitingMessage[]): Promise<readonly WaitingMessage[]> {
		let left = round;
		let mustRefresh = round.some(message => this.#needsRead(message));
		for (let attempt = 0; attempt < MOST_TRIES && left.length > 0; attempt += 1) {
			if (!this.#log.isFresh || mustRefresh) {
				const refreshed = await this.#log.refresh(this.#table).run();
				if (refreshed.isLeft()) {
					if (!await this.#mayTryAgain(refreshed.extract())) {
						return left;
					}

					continue;
				}

				this.#isLoaded = true;
				mustRefresh = false;
			}

			const {now, wallClock} = this.#options;
			const {entries, waiting} = collectEntries({
				messages: left, table: this.#table, nowMs: now(), wallClockMs: wallClock(),
			});
			left = waiting;
			if (entries.length === 0) {
				return left;
			}

			const frame = create(JournalFrameSchema, {id: randomUUID(), entries: [...entries]});

			const isWritten = await this.#write(frame);
			if (isWritten === undefined) {
				return left;
			}

			if (isWritten) {
				confirm(left);
				return [];
			}
		}

		return left;
	}

	/** Writes a frame; undefined when it cannot be told whether it was written. */
	async #write(frame: JournalFrame): Promise<boolean | undefined> {
		this.#pace.noteWrite();
		const appended = await this.#log.append({frame, horizonMs: this.#nextHorizonMs(), table: this.#table}).run();
		if (appended.isRight() && appended.extract()) {
			return true;
		}

		if (appended.isLeft() && !await this.#mayTryAgain(appended.extract())) {
			return undefined;
		}

		// Lost, or another writer was first: the log itself says which.
		if (appended.isLeft()) {
			this.#options.onEvent('journal.answer-lost');
		} else {
			this.#options.onEvent('journal.overtaken');
			this.#pace.noteOvertaken();
		}

		const refreshed = await this.#log.refresh(this.#table).run();
		if (refreshed.isLeft()) {
			this.#pace.noteOutage();
			return undefined;
		}

		return this.#log.hasFrame(frame.id);
	}

	/** Answers a copy whose key has a record that no later write can change for it. */
	#tryAnswerAtOnce(message: WaitingMessage): boolean {
		if (message.kind !== 'begin' || !this.#isLoaded) {
			return false;
		}

		const {mintedAtMs} = message.request.key!;
		if (Number(mintedAtMs) > this.#options.wallClock() + EARLY_TOLERANCE_MS) {
			message.reply(create(BeginResponseSchema, {verdict: BeginVerdict.EARLY}));
			return true;
		}

		const judgement = this.#judge(message);
		if (judgement.kind === 'replay' || judgement.kind === 'expired') {
			message.reply(toResponse(judgement));
			return true;
		}

		return false;
	}

	#judge({request}: BeginMessage): Judgement {
		return this.#table.judge({
			key: request.key!, fingerprint: request.fingerprint, token: request.token, nowMs: this.#options.now(),
		});
	}

	/** Answers a message that the store kept from being served. Nothing was granted under it. */
	#refuse({message, mayBeKept}: {readonly message: WaitingMessage; readonly mayBeKept: boolean}): void {
		refuse({message, mayBeKept, judgement: message.kind === 'begin' && this.#isLoaded ? this.#judge(message) : undefined});
	}

	/** Waits after a refusal for the rate; notes an outage after anything else, for a time in which all fail at once. */
	async #mayTryAgain({code}: StoreError): Promise<boolean> {
		this.#options.onEvent(`journal.store-${code}`);
		if (code === 'rate-limited') {
			await this.#options.sleep(RATE_LIMITED_PAUSE_MS);
			return true;
		}

		if (code === 'undecided') {
			this.#isUndecided = true;
			return true;
		}

		this.#pace.noteOutage();
		return false;
	}

	/** The horizon moves in steps, so that the records are not searched at every write. */
	#nextHorizonMs(): number {
		const {keyLifetimeMs, wallClock} = this.#options;
		const wantedMs = Math.floor(wallClock()) - keyLifetimeMs;
		return wantedMs - this.#log.horizonMs > keyLifetimeMs * HORIZON_STEP_SHARE ? wantedMs : this.#log.horizonMs;
	}
}
