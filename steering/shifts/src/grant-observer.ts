/** Tells when other instances' grants have surely ended, by this instance's own clock alone. */
import type {InstanceId} from '@pomelopick/core.types';
import type {ShiftLedger} from './shift-ledger.js';

/** Allowance for clocks that run at different speeds. */
const CLOCK_SPEED_MARGIN = 1.1;

interface Observation {
	readonly epoch: number;
	readonly firstSeenAtMs: number;
	readonly durationMs: number;
}

/** Options of {@link GrantObserver}. */
export interface GrantObserverOptions {
	/** Time after its end during which a grant's last calls still count, in milliseconds. */
	readonly windowMs: number;
}

/**
 * Observes grants.
 *
 * A holder counts its grant's time from before it asked, and an observer from after it read the grant. So a grant that
 * was not renewed for its whole time and one window after it was first seen is over at its holder as well.
 */
export class GrantObserver {
	readonly #windowMs: number;
	readonly #observations = new Map<InstanceId, Observation>();

	constructor({windowMs}: GrantObserverOptions) {
		this.#windowMs = windowMs;
	}

	/** Takes note of a ledger that was read, and answers the holders whose grants have ended. */
	observe({ledger, nowMs}: {readonly ledger: ShiftLedger; readonly nowMs: number}): ReadonlySet<InstanceId> {
		const ended = new Set<InstanceId>();
		for (const {holder, epoch, durationMs} of ledger.grants) {
			const known = this.#observations.get(holder);
			if (known?.epoch !== epoch) {
				this.#observations.set(holder, {epoch, firstSeenAtMs: nowMs, durationMs});
			} else if (nowMs - known.firstSeenAtMs > (known.durationMs * CLOCK_SPEED_MARGIN) + this.#windowMs) {
				ended.add(holder);
			}
		}

		return ended;
	}
}
