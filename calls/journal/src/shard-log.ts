/**
 * The log of one shard in the key-value service.
 *
 * One key, the head, holds the newest frames and is only ever changed by compare-and-swap against the index that was
 * read, so a writer that has been overtaken cannot append. A head that has grown large is copied to a segment, named
 * by the head's index and never changed; the swap that empties the head lists it.
 */
import {Buffer} from 'node:buffer';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {JournalSegmentSchema, ShardHeadSchema} from '@pomelopick/peer.protocol';
import type {JournalFrame, JournalSegment, ShardHead} from '@pomelopick/peer.protocol';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import type {ShardTable} from './shard-table.js';

const PREFIX = 'pomelopick/journal';
const MOST_HEAD_BYTES = 131_072;
const MOST_HEAD_FRAMES = 64;
const MOST_VALUE_BYTES = 900_000;
const LISTED_AT_ONCE = 4;
const MOST_READS = 4;
const INDEX_DIGITS = 16;

/** Options of {@link ShardLog}. */
export interface ShardLogOptions {
	readonly store: KeyValueStore;
	readonly shard: number;
	/** Size above which the head is archived, in bytes. */
	readonly mostHeadBytes?: number;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link ShardLog.append}. */
export interface AppendOptions {
	readonly frame: JournalFrame;
	/** Records of this time and earlier are dropped, in milliseconds since the epoch; never goes back. */
	readonly horizonMs: number;
	/** Takes the entries of the frame once it is written. */
	readonly table: ShardTable;
}

/** A value that was sent to the store, with what it holds. */
interface SentHead {
	readonly head: ShardHead;
	readonly value: Uint8Array;
	readonly frames: readonly Uint8Array[];
}

interface TakeOptions {
	readonly head: ShardHead;
	readonly headBytes: number;
	readonly index: number;
	/** Frames that were not applied yet, then those of the head. */
	readonly frames: readonly JournalFrame[];
	readonly table: ShardTable;
}

/** Reads and appends to one shard's log. */
export class ShardLog {
	readonly #options: ShardLogOptions;
	readonly #headKey: string;
	readonly #applied = new Set<bigint>();
	#head: ShardHead = create(ShardHeadSchema);
	/** The head's frames, encoded, so that a frame is encoded once. */
	#encodedFrames: readonly Uint8Array[] = [];
	#sent: SentHead | undefined;
	#headBytes = 0;
	#index = 0;
	#isFresh = false;

	constructor(options: ShardLogOptions) {
		this.#options = options;
		this.#headKey = `${PREFIX}/${options.shard}/head`;
	}

	/** Whether the last write's index is known, so that the next one can be made. */
	get isFresh(): boolean {
		return this.#isFresh;
	}

	/** Records of this time and earlier are dropped, in milliseconds since the epoch. */
	get horizonMs(): number {
		return Number(this.#head.horizonMs);
	}

	/** Whether the head, as last read, has a frame. */
	hasFrame(id: string): boolean {
		return this.#head.frames.some(frame => frame.id === id);
	}

	/** Reads what was written since the last read and applies it to the table. */
	refresh(table: ShardTable): EitherAsync<StoreError, void> {
		return EitherAsync.fromPromise(async () => this.#refresh(table));
	}

	/**
	 * Appends a frame if nothing was written since the last {@link refresh} or append. After any answer but true the
	 * log is to be refreshed before the next append.
	 *
	 * @returns Right false when another write came first. Left `undecided` when the frame may have been written.
	 */
	append(options: AppendOptions): EitherAsync<StoreError, boolean> {
		return EitherAsync.fromPromise(async () => this.#append(options));
	}

	async #append({frame, horizonMs, table}: AppendOptions): Promise<Either<StoreError, boolean>> {
		if (this.#headBytes > MOST_VALUE_BYTES) {
			return Left({code: 'unavailable', message: `shard ${this.#options.shard}: the head could not be archived`});
		}

		const isLarge = this.#headBytes > (this.#options.mostHeadBytes ?? MOST_HEAD_BYTES) || this.#head.frames.length >= MOST_HEAD_FRAMES;
		const isArchived = isLarge && await this.#archive();
		const newHorizonMs = Math.max(this.horizonMs, horizonMs);
		const kept = this.#head.segments.filter(({newestAtMs}) => Number(newestAtMs) > newHorizonMs);
		const dropped = this.#head.segments.filter(({newestAtMs}) => Number(newestAtMs) <= newHorizonMs);
		const next = create(ShardHeadSchema, {
			horizonMs: BigInt(newHorizonMs),
			segments: isArchived ? [...kept, this.#nextSegment()] : kept,
			frames: isArchived ? [frame] : [...this.#head.frames, frame],
		});
		const frames = [...(isArchived ? [] : this.#encodedFrames), encodeFrame(frame)];
		const value = encodeHead({head: next, frames});
		const expectedIndex = this.#index;
		this.#isFresh = false;
		this.#sent = {head: next, value, frames};
		const swapped = await this.#options.store.compareAndSwapForIndex({key: this.#headKey, value, expectedIndex}).run();
		const index = swapped.orDefault(undefined);
		if (index !== undefined) {
			this.#takeSent({sent: this.#sent, index, table});
			this.#collect(dropped);
		}

		return swapped.map(written => written !== undefined);
	}

	async #archive(): Promise<boolean> {
		const {index} = this.#nextSegment();
		const value = Buffer.concat(this.#encodedFrames);
		// The head at one index has one content, so a segment that exists already is the same one.
		const written = await this.#options.store.compareAndSwap({key: this.#segmentKey(index), value, expectedIndex: 0}).run();
		return written.isRight();
	}

	#nextSegment(): JournalSegment {
		const times = this.#head.frames.flatMap(({entries}) => entries).map(({change}) => change.case === 'intent' ? Number(change.value.atMs) : 0);
		return create(JournalSegmentSchema, {index: BigInt(this.#index), newestAtMs: BigInt(Math.max(0, ...times))});
	}

	#collect(segments: readonly JournalSegment[]): void {
		for (const {index} of segments) {
			void this.#deleteSegment(index);
		}
	}

	async #deleteSegment(index: bigint): Promise<void> {
		this.#applied.delete(index);
		const found = await this.#options.store.get(this.#segmentKey(index)).run();
		const value = found.orDefault(undefined);
		if (value) {
			await this.#options.store.compareAndDelete({key: value.key, expectedIndex: value.modifyIndex}).run();
		}
	}

	async #refresh(table: ShardTable): Promise<Either<StoreError, void>> {
		for (let read = 0; read < MOST_READS; read += 1) {
			const found = await this.#options.store.get(this.#headKey).run();
			if (found.isLeft()) {
				return Left(found.extract());
			}

			const value = found.orDefault(undefined);
			if (value && this.#sent && Buffer.compare(value.value, this.#sent.value) === 0) {
				this.#takeSent({sent: this.#sent, index: value.modifyIndex, table});
				return Right(undefined);
			}

			const head = value ? fromBinary(ShardHeadSchema, value.value) : create(ShardHeadSchema);
			const segments = await this.#readSegments(head.segments.filter(({index}) => !this.#applied.has(index)));
			if (segments.isLeft()) {
				return Left(segments.extract());
			}

			const frames = segments.orDefault(undefined);
			// A segment that is gone was dropped after the head was read; the head is read again.
			if (frames) {
				this.#take({
					head, headBytes: value?.value.length ?? 0, index: value?.modifyIndex ?? 0, frames: [...frames, ...head.frames], table,
				});
				return Right(undefined);
			}
		}

		return Left({code: 'unavailable', message: `shard ${this.#options.shard}: segments kept vanishing while they were read`});
	}

	/** The store holds what was sent last: only its last frame may be news to the table. */
	#takeSent({sent, index, table}: {readonly sent: SentHead; readonly index: number; readonly table: ShardTable}): void {
		const nowMs = this.#options.now();
		for (const entry of sent.head.frames.at(-1)!.entries) {
			table.apply({entry, nowMs});
		}

		table.expire(Number(sent.head.horizonMs));
		this.#head = sent.head;
		this.#encodedFrames = sent.frames;
		this.#headBytes = sent.value.length;
		this.#index = index;
		this.#isFresh = true;
		for (const segment of sent.head.segments) {
			this.#applied.add(segment.index);
		}
	}

	#take({head, headBytes, index, frames, table}: TakeOptions): void {
		const nowMs = this.#options.now();
		for (const entry of frames.flatMap(({entries}) => entries)) {
			table.apply({entry, nowMs});
		}

		table.expire(Number(head.horizonMs));
		for (const segment of head.segments) {
			this.#applied.add(segment.index);
		}

		this.#head = head;
		this.#encodedFrames = head.frames.map(frame => encodeFrame(frame));
		this.#headBytes = headBytes;
		this.#index = index;
		this.#isFresh = true;
	}

	async #readSegments(segments: readonly JournalSegment[]): Promise<Either<StoreError, readonly JournalFrame[] | undefined>> {
		const names = new Set(segments.map(({index}) => this.#segmentKey(index)));
		const reads = segments.length > LISTED_AT_ONCE
			? [await this.#options.store.list(`${PREFIX}/${this.#options.shard}/segments/`).run()]
			: await Promise.all(segments.map(async ({index}) => this.#options.store.get(this.#segmentKey(index)).map(value => value ? [value] : []).run()));
		const failed = reads.find(read => read.isLeft());
		if (failed) {
			return Left(failed.extract());
		}

		const values = reads.flatMap(read => read.orDefault([])).filter(({key}) => names.has(key)).sort((left, right) => left.key < right.key ? -1 : 1);
		return Right(values.length === segments.length ? values.flatMap(({value}) => fromBinary(ShardHeadSchema, value).frames) : undefined);
	}

	#segmentKey(index: bigint): string {
		return `${PREFIX}/${this.#options.shard}/segments/${String(index).padStart(INDEX_DIGITS, '0')}`;
	}
}

/** Encodes a head of one frame; such encodings may be joined, because repeated fields add up. */
function encodeFrame(frame: JournalFrame): Uint8Array {
	return toBinary(ShardHeadSchema, create(ShardHeadSchema, {frames: [frame]}));
}

function encodeHead({head: {horizonMs, segments}, frames}: {readonly head: ShardHead; readonly frames: readonly Uint8Array[]}): Uint8Array {
	return Buffer.concat([toBinary(ShardHeadSchema, create(ShardHeadSchema, {horizonMs, segments})), ...frames]);
}
