/**
 * Chooses the less loaded of two random servers.
 *
 * Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001.
 */

/** Draws an integer from 0 to `below` - 1. */
export type DrawInteger = (below: number) => number;

/** Options of {@link chooseByPowerOfTwo}. */
export interface ChooseByPowerOfTwoOptions<Item> {
	readonly items: readonly Item[];
	/** Load of an item; lower is better. */
	readonly loadOf: (item: Item) => number;
	readonly draw: DrawInteger;
}

/** The less loaded of two distinct random items; undefined when there are none. */
export function chooseByPowerOfTwo<Item>({items, loadOf, draw}: ChooseByPowerOfTwoOptions<Item>): Item | undefined {
	if (items.length < 2) {
		return items[0];
	}

	const first = draw(items.length);
	const step = 1 + draw(items.length - 1);
	const left = items[first]!;
	const right = items[(first + step) % items.length]!;
	return loadOf(right) < loadOf(left) ? right : left;
}
