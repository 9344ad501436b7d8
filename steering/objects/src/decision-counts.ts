/** Counts how often the decisions for uneven regions and servers change the choice of a server. */
import type {UnevenDecision} from './object-placer-types.js';

/** Counts since the start. */
export class DecisionCounts {
	readonly #counts = new Map<UnevenDecision, number>();

	/** Choices that were changed, by decision. */
	get counts(): ReadonlyMap<UnevenDecision, number> {
		return this.#counts;
	}

	/** Records a decision; it is counted if it changed the choice. */
	record({decision, isTaken}: {readonly decision: UnevenDecision; readonly isTaken: boolean}): void {
		if (isTaken) {
			this.#counts.set(decision, (this.#counts.get(decision) ?? 0) + 1);
		}
	}
}
