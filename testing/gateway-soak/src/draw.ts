/** Pseudorandom numbers drawn from a seed. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws an integer from 0 (inclusive) to its argument (exclusive). */
export type Draw = (below: number) => number;

/** Creates a function that draws numbers from a seed. */
export function createDraw(seed: number): Draw {
	const generator = xoroshiro128plus(seed);
	return below => uniformInt(generator, 0, below - 1);
}
