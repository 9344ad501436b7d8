/** Draws of numbers. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

const DRAW_RANGE = 1_000_000_000;

/** Number above 0 and up to 1. */
export function drawPart(random: RandomGenerator): number {
	return uniformInt(random, 1, DRAW_RANGE) / DRAW_RANGE;
}

/** Number of an object from 1 to `objects`, with frequencies that fall with the number to the power of the skew (Zipf). */
export class ObjectDraw {
	readonly #cumulated: readonly number[];

	constructor({objects, skew}: {readonly objects: number; readonly skew: number}) {
		let sum = 0;
		this.#cumulated = Array.from({length: objects}, (_, index) => {
			sum += (index + 1) ** -skew;
			return sum;
		});
	}

	/** Draws an object. */
	draw(random: RandomGenerator): number {
		const target = drawPart(random) * this.#cumulated.at(-1)!;
		let low = 0;
		let high = this.#cumulated.length - 1;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#cumulated[middle]! < target) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low + 1;
	}
}
