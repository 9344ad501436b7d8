/** Determines when the grants of other instances have certainly expired, by this instance's clock alone. */
import type {InstanceId} from '@pomelopick/core.types';
import type {ShiftLedger} from './shift-ledger.js';

/** Factor that allows for clocks that run at different speeds. */
const CLOCK_SPEED_MARGIN = 1.1;

interface Observation {
	readonly epoch: number;
	readonly firstObservedAtMs: number;
	readonly durationMs: number;
}

/** Options of {@link GrantObserver}. */
export interface GrantObserverOptions {
	/** Time for which the last calls of a grant still count after it expired, in milliseconds. */
	readonly windowMs: number;
}

/**
 * Observes the grants of all instances.
 *
 * The holder of a grant measures its duration from before it requested the grant, and an observer from after it read the
 * grant. So when a grant was not renewed for its duration and one window since it was first observed, it has expired at
 * its holder too.
 */
export class GrantObserver {
	readonly #windowMs: number;
	readonly #observations = new Map<InstanceId, Observation>();

	constructor({windowMs}: GrantObserverOptions) {
		this.#windowMs = windowMs;
	}

	/** Records a ledger that was read; returns the holders whose grants have expired. */
	observe({ledger, nowMs}: {readonly ledger: ShiftLedger; readonly nowMs: number}): ReadonlySet<InstanceId> {
		const expired = new Set<InstanceId>();
		for (const {holder, epoch, durationMs} of ledger.grants) {
			const known = this.#observations.get(holder);
			if (known?.epoch !== epoch) {
				this.#observations.set(holder, {epoch, firstObservedAtMs: nowMs, durationMs});
			} else if (nowMs - known.firstObservedAtMs > (known.durationMs * CLOCK_SPEED_MARGIN) + this.#windowMs) {
				expired.add(holder);
			}
		}

		return expired;
	}
}
