/**
 * The log of one shard in the key-value service.
 *
 * A frame contains the entries of one write: intents, outcomes and releases of keys. Records up to the horizon have expired.
 * One key, the head, contains the newest frames. It is only changed by compare-and-swap against the index that was
 * read, so an instance cannot append after another one has written. A large head is archived: it is copied to a segment,
 * which is named after the head's index and never changed. The swap that empties the head adds the segment to its list.
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
const DEFAULT_MAX_HEAD_BYTES = 131_072;
/** Number of frames from which the head is archived. */
const MAX_HEAD_FRAMES = 64;
/** Size of the head above which nothing more is appended, in bytes. */
const MAX_VALUE_BYTES = 900_000;
/** Segments that are read one by one; more are read with one list request. */
const MAX_SINGLE_SEGMENT_READS = 4;
/** Attempts to read the head and its segments while segments are being deleted. */
const MAX_READ_ATTEMPTS = 4;
const INDEX_DIGITS = 16;

/** Options of {@link ShardLog}. */
export interface ShardLogOptions {
	readonly store: KeyValueStore;
	readonly shard: number;
	/** Size of the head above which it is archived, in bytes. */
	readonly maxHeadBytes?: number;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link ShardLog.append}. */
export interface AppendOptions {
	readonly frame: JournalFrame;
	/** Records of this time and earlier expire, in milliseconds since the epoch. An earlier time than before is ignored. */
	readonly horizonMs: number;
	/** Table to which the entries of the frame are applied once it is written. */
	readonly table: ShardTable;
}

/** A value that was sent to the store, with its decoded and encoded content. */
interface SentHead {
	readonly head: ShardHead;
	readonly value: Uint8Array;
	readonly frames: readonly Uint8Array[];
}

interface ApplyReadOptions {
	readonly head: ShardHead;
	readonly headBytes: number;
	readonly index: number;
	/** Frames of segments that were not applied yet, followed by those of the head. */
	readonly frames: readonly JournalFrame[];
	readonly table: ShardTable;
}

/** Reads and appends to one shard's log. */
export class ShardLog {
	readonly #options: ShardLogOptions;
	readonly #headKey: string;
	readonly #appliedSegments = new Set<bigint>();
	#head: ShardHead = create(ShardHeadSchema);
	/** Encoded frames of the head, kept so that each frame is encoded once. */
	#encodedFrames: readonly Uint8Array[] = [];
	#lastSent: SentHead | undefined;
	#headBytes = 0;
	#index = 0;
	#isFresh = false;

	constructor(options: ShardLogOptions) {
		this.#options = options;
		this.#headKey = `${PREFIX}/${options.shard}/head`;
	}

	/** Whether the index of the last write is known, which the next write needs. */
	get isFresh(): boolean {
		return this.#isFresh;
	}

	/** Records of this time and earlier expire, in milliseconds since the epoch. */
	get horizonMs(): number {
		return Number(this.#head.horizonMs);
	}

	/** Whether the head contained a frame when it was last read. */
	hasFrame(id: string): boolean {
		return this.#head.frames.some(frame => frame.id === id);
	}

	/** Reads what was written since the last read and applies it to the table. */
	refresh(table: ShardTable): EitherAsync<StoreError, void> {
		return EitherAsync.fromPromise(async () => this.#refresh(table));
	}

	/**
	 * Appends a frame if nothing was written since the last {@link refresh} or append. After any result but true, the
	 * log must be refreshed before the next append.
	 *
	 * @returns Right false when another write came first; Left `undecided` when the frame may have been written.
	 */
	append(options: AppendOptions): EitherAsync<StoreError, boolean> {
		return EitherAsync.fromPromise(async () => this.#append(options));
	}

	async #append({frame, horizonMs, table}: AppendOptions): Promise<Either<StoreError, boolean>> {
		if (this.#headBytes > MAX_VALUE_BYTES) {
			return Left({code: 'unavailable', message: `shard ${this.#options.shard}: the head is too large to append to and could not be archived`});
		}

		const isLarge = this.#headBytes > (this.#options.maxHeadBytes ?? DEFAULT_MAX_HEAD_BYTES) || this.#head.frames.length >= MAX_HEAD_FRAMES;
		const isArchived = isLarge && await this.#archive();
		const newHorizonMs = Math.max(this.horizonMs, horizonMs);
		const keptSegments = this.#head.segments.filter(({newestAtMs}) => Number(newestAtMs) > newHorizonMs);
		const expiredSegments = this.#head.segments.filter(({newestAtMs}) => Number(newestAtMs) <= newHorizonMs);
		const next = create(ShardHeadSchema, {
			horizonMs: BigInt(newHorizonMs),
			segments: isArchived ? [...keptSegments, this.#nextSegment()] : keptSegments,
			frames: isArchived ? [frame] : [...this.#head.frames, frame],
		});
		const frames = [...(isArchived ? [] : this.#encodedFrames), encodeFrame(frame)];
		const value = encodeHead({head: next, frames});
		const expectedIndex = this.#index;
		this.#isFresh = false;
		this.#lastSent = {head: next, value, frames};
		const swapped = await this.#options.store.compareAndSwapForIndex({key: this.#headKey, value, expectedIndex}).run();
		const index = swapped.orDefault(undefined);
		if (index !== undefined) {
			this.#applySent({sent: this.#lastSent, index, table});
			this.#deleteSegments(expiredSegments);
		}

		return swapped.map(written => written !== undefined);
	}

	async #archive(): Promise<boolean> {
		const {index} = this.#nextSegment();
		const value = Buffer.concat(this.#encodedFrames);
		// The head has the same content whenever it has this index, so an existing segment of this name is identical.
		const written = await this.#options.store.compareAndSwap({key: this.#segmentKey(index), value, expectedIndex: 0}).run();
		return written.isRight();
	}

	#nextSegment(): JournalSegment {
		const times = this.#head.frames.flatMap(({entries}) => entries).map(({change}) => change.case === 'intent' ? Number(change.value.atMs) : 0);
		return create(JournalSegmentSchema, {index: BigInt(this.#index), newestAtMs: BigInt(Math.max(0, ...times))});
	}

	#deleteSegments(segments: readonly JournalSegment[]): void {
		for (const {index} of segments) {
			void this.#deleteSegment(index);
		}
	}

	async #deleteSegment(index: bigint): Promise<void> {
		this.#appliedSegments.delete(index);
		const found = await this.#options.store.get(this.#segmentKey(index)).run();
		const value = found.orDefault(undefined);
		if (value) {
			await this.#options.store.compareAndDelete({key: value.key, expectedIndex: value.modifyIndex}).run();
		}
	}

	async #refresh(table: ShardTable): Promise<Either<StoreError, void>> {
		for (let read = 0; read < MAX_READ_ATTEMPTS; read += 1) {
			const found = await this.#options.store.get(this.#headKey).run();
			if (found.isLeft()) {
				return Left(found.extract());
			}

			const value = found.orDefault(undefined);
			if (value && this.#lastSent && Buffer.compare(value.value, this.#lastSent.value) === 0) {
				this.#applySent({sent: this.#lastSent, index: value.modifyIndex, table});
				return Right(undefined);
			}

			const head = value ? fromBinary(ShardHeadSchema, value.value) : create(ShardHeadSchema);
			const segments = await this.#readSegments(head.segments.filter(({index}) => !this.#appliedSegments.has(index)));
			if (segments.isLeft()) {
				return Left(segments.extract());
			}

			const frames = segments.orDefault(undefined);
			// A missing segment was deleted after the head was read, so the head is read again.
			if (frames) {
				this.#applyRead({
					head, headBytes: value?.value.length ?? 0, index: value?.modifyIndex ?? 0, frames: [...frames, ...head.frames], table,
				});
				return Right(undefined);
			}
		}

		return Left({code: 'unavailable', message: `shard ${this.#options.shard}: segments were deleted while they were read, in every attempt`});
	}

	/** Applies the value that was sent last, once the store is known to contain it. Only its last frame may be missing from the table. */
	#applySent({sent, index, table}: {readonly sent: SentHead; readonly index: number; readonly table: ShardTable}): void {
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
			this.#appliedSegments.add(segment.index);
		}
	}

	#applyRead({head, headBytes, index, frames, table}: ApplyReadOptions): void {
		const nowMs = this.#options.now();
		for (const entry of frames.flatMap(({entries}) => entries)) {
			table.apply({entry, nowMs});
		}

		table.expire(Number(head.horizonMs));
		for (const segment of head.segments) {
			this.#appliedSegments.add(segment.index);
		}

		this.#head = head;
		this.#encodedFrames = head.frames.map(frame => encodeFrame(frame));
		this.#headBytes = headBytes;
		this.#index = index;
		this.#isFresh = true;
	}

	async #readSegments(segments: readonly JournalSegment[]): Promise<Either<StoreError, readonly JournalFrame[] | undefined>> {
		const names = new Set(segments.map(({index}) => this.#segmentKey(index)));
		const reads = segments.length > MAX_SINGLE_SEGMENT_READS
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

/** Encodes a head of one frame. Such encodings can be concatenated, because repeated fields are merged in decoding. */
function encodeFrame(frame: JournalFrame): Uint8Array {
	return toBinary(ShardHeadSchema, create(ShardHeadSchema, {frames: [frame]}));
}

function encodeHead({head: {horizonMs, segments}, frames}: {readonly head: ShardHead; readonly frames: readonly Uint8Array[]}): Uint8Array {
	return Buffer.concat([toBinary(ShardHeadSchema, create(ShardHeadSchema, {horizonMs, segments})), ...frames]);
}
