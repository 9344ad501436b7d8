/**
 * The log of one shard in the key-value service.
 *
 * One key, the head, holds the newest frames and is only ever changed by compare-and-swap against the index that was
 * read, so a writer that has been overtaken cannot append. A head that has grown large is copied to a segment, named
 * by the head's index and never changed; the swap that empties the head lists it.
 */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {JournalSegmentSchema, ShardHeadSchema} from '@pomelopick/peer.protocol';
import type {JournalFrame, JournalSegment, ShardHead} from '@pomelopick/peer.protocol';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import type {ShardTable} from './shard-table.js';

const PREFIX = 'pomelopick/journal';
const MOST_HEAD_BYTES = 65_536;
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
	readonly #applied = new Set<string>();
	#head: ShardHead = create(ShardHeadSchema);
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
	 * Appends a frame if nothing was written since the last {@link refresh}. Whatever the answer, the log is to be
	 * refreshed before the next append.
	 *
	 * @returns Right false when another write came first. Left `undecided` when the frame may have been written.
	 */
	append(options: AppendOptions): EitherAsync<StoreError, boolean> {
		return EitherAsync.fromPromise(async () => this.#append(options));
	}

	async #append({frame, horizonMs}: AppendOptions): Promise<Either<StoreError, boolean>> {
		if (this.#headBytes > MOST_VALUE_BYTES) {
			return Left({code: 'unavailable', message: `shard ${this.#options.shard}: the head could not be archived`});
		}

		const isArchived = this.#headBytes > (this.#options.mostHeadBytes ?? MOST_HEAD_BYTES) && await this.#archive();
		const newHorizonMs = Math.max(this.horizonMs, horizonMs);
		const kept = this.#head.segments.filter(({newestAtMs}) => Number(newestAtMs) > newHorizonMs);
		const dropped = this.#head.segments.filter(({newestAtMs}) => Number(newestAtMs) <= newHorizonMs);
		const next = create(ShardHeadSchema, {
			horizonMs: BigInt(newHorizonMs),
			segments: isArchived ? [...kept, this.#nextSegment()] : kept,
			frames: isArchived ? [frame] : [...this.#head.frames, frame],
		});
		const expectedIndex = this.#index;
		this.#isFresh = false;
		const swapped = await this.#options.store.compareAndSwap({key: this.#headKey, value: toBinary(ShardHeadSchema, next), expectedIndex}).run();
		if (swapped.orDefault(false)) {
			this.#collect(dropped);
		}

		return swapped;
	}

	async #archive(): Promise<boolean> {
		const {name} = this.#nextSegment();
		const value = toBinary(ShardHeadSchema, create(ShardHeadSchema, {frames: this.#head.frames}));
		// The head at one index has one content, so a segment that exists already is the same one.
		const written = await this.#options.store.compareAndSwap({key: this.#segmentKey(name), value, expectedIndex: 0}).run();
		return written.isRight();
	}

	#nextSegment(): JournalSegment {
		const times = this.#head.frames.flatMap(({entries}) => entries).map(({change}) => change.case === 'intent' ? Number(change.value.atMs) : 0);
		return create(JournalSegmentSchema, {name: String(this.#index).padStart(INDEX_DIGITS, '0'), newestAtMs: BigInt(Math.max(0, ...times))});
	}

	#collect(segments: readonly JournalSegment[]): void {
		for (const {name} of segments) {
			void this.#deleteSegment(name);
		}
	}

	async #deleteSegment(name: string): Promise<void> {
		this.#applied.delete(name);
		const found = await this.#options.store.get(this.#segmentKey(name)).run();
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
			const head = value ? fromBinary(ShardHeadSchema, value.value) : create(ShardHeadSchema);
			const segments = await this.#readSegments(head.segments.filter(({name}) => !this.#applied.has(name)));
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

	#take({head, headBytes, index, frames, table}: TakeOptions): void {
		const nowMs = this.#options.now();
		for (const entry of frames.flatMap(({entries}) => entries)) {
			table.apply({entry, nowMs});
		}

		table.expire(Number(head.horizonMs));
		for (const {name} of head.segments) {
			this.#applied.add(name);
		}

		this.#head = head;
		this.#headBytes = headBytes;
		this.#index = index;
		this.#isFresh = true;
	}

	async #readSegments(segments: readonly JournalSegment[]): Promise<Either<StoreError, readonly JournalFrame[] | undefined>> {
		const names = new Set(segments.map(({name}) => this.#segmentKey(name)));
		const reads = segments.length > LISTED_AT_ONCE
			? [await this.#options.store.list(`${PREFIX}/${this.#options.shard}/segments/`).run()]
			: await Promise.all(segments.map(async ({name}) => this.#options.store.get(this.#segmentKey(name)).map(value => value ? [value] : []).run()));
		const failed = reads.find(read => read.isLeft());
		if (failed) {
			return Left(failed.extract());
		}

		const values = reads.flatMap(read => read.orDefault([])).filter(({key}) => names.has(key)).sort((left, right) => left.key < right.key ? -1 : 1);
		return Right(values.length === segments.length ? values.flatMap(({value}) => fromBinary(ShardHeadSchema, value).frames) : undefined);
	}

	#segmentKey(name: string): string {
		return `${PREFIX}/${this.#options.shard}/segments/${name}`;
	}
}
