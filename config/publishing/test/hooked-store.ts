/** A store client that lets a test intercept compare-and-swap writes. */
import {EitherAsync, Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {PlatformStore} from '@pomelopick/platform.store';
import type {CompareAndSwapOptions, StoreError} from '@pomelopick/platform.store';

type Write = () => Promise<Either<StoreError, boolean>>;

/** Runs instead of a write; calls `write` to perform it. */
export type WriteHook = (options: {readonly write: Write; readonly swap: CompareAndSwapOptions}) => Promise<Either<StoreError, boolean>>;

/** Result of a write whose response was lost. */
export const lostResponse: Either<StoreError, boolean> = Left({code: 'undecided', message: 'the response was lost'});

/** A store client with a hook on compare-and-swap that counts the bytes written. */
export class HookedStore extends PlatformStore {
	/** Bytes written by key prefix; the prefix is the key up to its last slash. */
	readonly writtenBytes = new Map<string, number>();
	/** Called instead of each compare-and-swap; undefined: writes are performed directly. */
	hook: WriteHook | undefined;

	override compareAndSwap(swap: CompareAndSwapOptions): EitherAsync<StoreError, boolean> {
		return EitherAsync.fromPromise(async () => {
			const prefix = swap.key.slice(0, swap.key.lastIndexOf('/') + 1);
			this.writtenBytes.set(prefix, (this.writtenBytes.get(prefix) ?? 0) + swap.value.length);
			const write: Write = async () => super.compareAndSwap(swap).run();
			return this.hook ? this.hook({write, swap}) : write();
		});
	}
}
