/**
 * A bounded queue that serves callers in turn.
 *
 * Round robin between callers, as in Nagle, "On Packet Switches with Infinite Storage", RFC 970, 1985.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';

/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
	/** Items that may wait in all. */
	readonly most: number;
	/** Items of one caller that may wait. */
	readonly mostPerCaller: number;
}

/** Options of {@link FairQueue.add}. */
export interface AddOptions<Item> {
	readonly caller: string;
	readonly item: Item;
	/** Monotonic time after which the item is no longer served, in milliseconds. */
	readonly deadlineMs: number;
}

/** Why an item may not wait. */
export type QueueRefusal = 'queue-full' | 'caller-share-exceeded';

/** Queue with one line a caller. */
export class FairQueue<Item> {
	readonly #options: FairQueueOptions;
	readonly #queueByCaller = new Map<string, Array<AddOptions<Item>>>();
	#length = 0;

	constructor(options: FairQueueOptions) {
		this.#options = options;
	}

	/** Items that wait. */
	get length(): number {
		return this.#length;
	}

	/** Adds an item, or says why it may not wait. */
	add(entry: AddOptions<Item>): Either<QueueRefusal, void> {
		const line = this.#queueByCaller.get(entry.caller) ?? [];
		if (line.length >= this.#options.mostPerCaller) {
			return Left('caller-share-exceeded');
		}

		if (this.#length >= this.#options.most) {
			return Left('queue-full');
		}

		line.push(entry);
		this.#queueByCaller.set(entry.caller, line);
		this.#length += 1;
		return Right(undefined);
	}

	/** Serves the first item that `serve` accepts, callers in turn; false when it accepted none. */
	serveNext(serve: (item: Item) => boolean): boolean {
		for (const [caller, line] of this.#queueByCaller) {
			if (serve(line[0]!.item)) {
				line.shift();
				this.#length -= 1;
				this.#queueByCaller.delete(caller);
				if (line.length > 0) {
					this.#queueByCaller.set(caller, line);
				}

				return true;
			}
		}

		return false;
	}

	/** Takes an item out; false when it does not wait. */
	remove({caller, item}: {readonly caller: string; readonly item: Item}): boolean {
		const line = this.#queueByCaller.get(caller);
		const index = line?.findIndex(entry => entry.item === item) ?? -1;
		if (!line || index === -1) {
			return false;
		}

		line.splice(index, 1);
		this.#length -= 1;
		if (line.length === 0) {
			this.#queueByCaller.delete(caller);
		}

		return true;
	}

	/** Takes out the items whose deadline has passed. */
	takeExpired(nowMs: number): Item[] {
		const expired = [...this.#queueByCaller.values()].flat().filter(({deadlineMs}) => deadlineMs <= nowMs);
		for (const entry of expired) {
			this.remove(entry);
		}

		return expired.map(({item}) => item);
	}
}
