/** Draws mixes of faults from a seed. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {faultNames} from '@pomelopick/testing.history';
import type {FaultStep} from '@pomelopick/testing.history';

const SHORTEST_MS = 200;
const LONGEST_MS = 2500;
const PERCENT = 100;
const PAIR_PERCENT = 45;
const REPEAT_PERCENT = 20;
/** Draws that are thrown away, because neighbouring seeds begin alike. */
const DISCARDED_DRAWS = 64;

/** Options of {@link drawSteps}. */
export interface DrawStepsOptions {
	readonly seed: number;
	readonly steps: number;
}

/** Draws steps: one fault, two at the same time, or the one before again. The same seed gives the same steps. */
export function drawSteps({seed, steps}: DrawStepsOptions): readonly FaultStep[] {
	const random = xoroshiro128plus(seed);
	const draw = (below: number): number => uniformInt(random, 0, below - 1);
	for (let discarded = 0; discarded < DISCARDED_DRAWS; discarded += 1) {
		draw(PERCENT);
	}

	const drawn: FaultStep[] = [];
	while (drawn.length < steps) {
		const previous = drawn.at(-1);
		const isRepeated = draw(PERCENT) < REPEAT_PERCENT;
		const count = draw(PERCENT) < PAIR_PERCENT ? 2 : 1;
		const faults = Array.from({length: count}, () => faultNames[draw(faultNames.length)]!);
		const durationMs = SHORTEST_MS + draw(LONGEST_MS - SHORTEST_MS);
		drawn.push(previous && isRepeated ? previous : {faults: [...new Set(faults)], durationMs});
	}

	return drawn;
}
