/**
 * A bounded queue that serves its callers in turn.
 *
 * Round robin between callers, as in Nagle, "On Packet Switches with Infinite Storage", RFC 970, 1985.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';

/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
	/** Maximum number of waiting items. */
	readonly maxItems: number;
	/** Maximum number of waiting items of one caller. */
	readonly maxPerCaller: number;
}

/** Options of {@link FairQueue.add}. */
export interface AddOptions<Item> {
	readonly caller: string;
	readonly item: Item;
	/** Monotonic time at which the item expires, in milliseconds. */
	readonly deadlineMs: number;
}

/** Why an item was not added. */
export type QueueRefusal = 'queue-full' | 'caller-share-exceeded';

/** Keeps one first-in, first-out queue for each caller. */
export class FairQueue<Item> {
	readonly #options: FairQueueOptions;
	readonly #queueByCaller = new Map<string, Array<AddOptions<Item>>>();
	#length = 0;

	constructor(options: FairQueueOptions) {
		this.#options = options;
	}

	/** Number of waiting items. */
	get length(): number {
		return this.#length;
	}

	/** Adds an item, or returns why it was not added. */
	add(entry: AddOptions<Item>): Either<QueueRefusal, void> {
		const queue = this.#queueByCaller.get(entry.caller) ?? [];
		if (queue.length >= this.#options.maxPerCaller) {
			return Left('caller-share-exceeded');
		}

		if (this.#length >= this.#options.maxItems) {
			return Left('queue-full');
		}

		queue.push(entry);
		this.#queueByCaller.set(entry.caller, queue);
		this.#length += 1;
		return Right(undefined);
	}

	/** Offers the first item of each caller in turn to `serve` until it accepts one, and removes that item; returns false when it accepts none. */
	serveNext(serve: (item: Item) => boolean): boolean {
		for (const [caller, queue] of this.#queueByCaller) {
			if (serve(queue[0]!.item)) {
				queue.shift();
				this.#length -= 1;
				this.#queueByCaller.delete(caller);
				if (queue.length > 0) {
					this.#queueByCaller.set(caller, queue);
				}

				return true;
			}
		}

		return false;
	}

	/** Removes an item; returns false when it is not in the queue. */
	remove({caller, item}: {readonly caller: string; readonly item: Item}): boolean {
		const queue = this.#queueByCaller.get(caller);
		const index = queue?.findIndex(entry => entry.item === item) ?? -1;
		if (!queue || index === -1) {
			return false;
		}

		queue.splice(index, 1);
		this.#length -= 1;
		if (queue.length === 0) {
			this.#queueByCaller.delete(caller);
		}

		return true;
	}

	/** Removes and returns the items whose deadline has passed. */
	takeExpired(nowMs: number): Item[] {
		const expired = [...this.#queueByCaller.values()].flat().filter(({deadlineMs}) => deadlineMs <= nowMs);
		for (const entry of expired) {
			this.remove(entry);
		}

		return expired.map(({item}) => item);
	}
}
