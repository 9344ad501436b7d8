/** Keeps the heap of an instance's process small. For main programs only, since the flags apply to the whole process. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Keeps the young generation at its initial size; by default it grows to 32 MB and stays resident. */
const YOUNG_GENERATION_FLAG = '--semi-space-growth-factor=1';
/** Heap growth since the last collection, relative to the live heap after it, that starts the next collection, in percent. */
const HEAP_GROWTH_FLAG = '--heap-growing-percent=50';

/** Sets the flags. Must be called before the libraries are loaded, since they already fill the young generation. */
export function limitHeap(): void {
	setFlagsFromString(YOUNG_GENERATION_FLAG);
	setFlagsFromString(HEAP_GROWTH_FLAG);
}

/**
 * Runs a full garbage collection.
 *
 * The first load of a large configuration leaves tens of megabytes of garbage, which stay resident until the next full
 * collection; an idle instance never reaches one. The collection stops the process for tens of milliseconds, so it is only
 * to be run before the first call is accepted.
 */
export function collectGarbage(): void {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
}
