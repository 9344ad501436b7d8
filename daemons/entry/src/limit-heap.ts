/** Keeps the heap of an instance's process small; for programs, since the flags hold for the whole process. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** The young generation stays at its first size; by default it grows to 32 MB and stays resident. */
const YOUNG_GENERATION_FLAG = '--semi-space-growth-factor=1';
/** Growth of the heap over what was live at the last collection that starts the next one, in percent. */
const HEAP_GROWTH_FLAG = '--heap-growing-percent=50';

/** Sets the flags. To be called before the libraries are loaded, which fill the young generation. */
export function limitHeap(): void {
	setFlagsFromString(YOUNG_GENERATION_FLAG);
	setFlagsFromString(HEAP_GROWTH_FLAG);
}

/**
 * Collects garbage at once.
 *
 * The first load of a large set leaves tens of megabytes that stay resident until the next collection of the whole
 * heap, which an instance at rest does not come to. It stops the process for tens of milliseconds, so it is for the
 * moment before the first call is taken.
 */
export function collectGarbage(): void {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
}
