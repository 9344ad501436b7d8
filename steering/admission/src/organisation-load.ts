/** Load of one organisation at one service, as far as this instance sees it. */
import {DecayingTally} from './decaying-tally.js';
import {PartSelector} from './part-selector.js';

/** Time constant of the load in which a sudden rise is noticed, in milliseconds: it may last a few seconds only. */
const RECENT_DECAY_MS = 2000;
/** Time constant of the load that is added up over all instances, in milliseconds: their requests together vary less, so that a rise is noticed sooner. */
export const FLEET_DECAY_MS = 1000;
/** Time constant of the load by which shares are compared, in milliseconds: an instance sees few requests of most organisations. */
export const SHARE_DECAY_MS = 10_000;
/** Number of requests with the mean share that are assumed besides those of an organisation, so that a few refusals in a row say little. */
const ASSUMED_REQUESTS = 2;
/** Time constant of the usual load, in milliseconds: long against a rise of a few seconds, short against a lasting change. */
const USUAL_DECAY_MS = 60_000;
/** Time until the usual load is known, in milliseconds. */
const USUAL_MIN_AGE_MS = 5000;
/** Multiple of its usual load that an organisation may send before it counts as a sudden rise. */
const RISE_FACTOR = 1.5;
/** Rise that is considered random variation at any load, in requests per second: one further request within {@link RECENT_DECAY_MS}. */
const NOISE_RATE = 0.5;
/** Weight of all requests together below which an organisation is no longer active. */
const MIN_ACTIVE_SUM = 0.01;

/** Load of an organisation, in requests per second. */
export interface OrganisationRates {
	readonly recentRate: number;
	/** Load above which it counts as a sudden rise. */
	readonly riseThreshold: number;
}

/** Recent and usual load of one organisation. */
export class OrganisationLoad {
	readonly #recent: DecayingTally;
	readonly #momentary: DecayingTally;
	readonly #offered: DecayingTally;
	readonly #admitted: DecayingTally;
	readonly #usual: DecayingTally;
	readonly #excessSelector = new PartSelector();

	constructor(nowMs: number) {
		this.#recent = new DecayingTally({decayMs: RECENT_DECAY_MS, nowMs});
		this.#momentary = new DecayingTally({decayMs: FLEET_DECAY_MS, nowMs});
		this.#offered = new DecayingTally({decayMs: SHARE_DECAY_MS, nowMs});
		this.#admitted = new DecayingTally({decayMs: SHARE_DECAY_MS, nowMs});
		this.#usual = new DecayingTally({decayMs: USUAL_DECAY_MS, nowMs});
	}

	/** Records a request. Load above the threshold of a sudden rise does not count towards the usual load; `fleet` is the load at all instances, if it is known. */
	recordOffered({fleet, nowMs}: {readonly fleet: OrganisationRates | undefined; readonly nowMs: number}): void {
		this.#recent.add(1, nowMs);
		this.#momentary.add(1, nowMs);
		this.#offered.add(1, nowMs);
		const {recentRate, riseThreshold} = fleet ?? this.rates(nowMs);
		this.#usual.add(Math.min(1, riseThreshold / recentRate), nowMs);
	}

	/** Records that the last request was admitted. */
	recordAdmitted(nowMs: number): void {
		this.#admitted.add(1, nowMs);
	}

	/** Requests per second that the organisation sends at the moment. */
	recentRate(nowMs: number): number {
		return this.#recent.rate(nowMs);
	}

	/** Part of this instance in what the organisation sends to all, in requests per second. */
	momentaryRate(nowMs: number): number {
		return this.#momentary.rate(nowMs);
	}

	/** Requests per second that the organisation sends, by which shares are compared. */
	offeredRate(nowMs: number): number {
		return this.#offered.rate(nowMs);
	}

	/** Requests per second that are usual; those at the moment while the usual load is unknown. */
	usualRate(nowMs: number): number {
		return this.#isUsualKnown(nowMs) ? this.#usual.rate(nowMs) : this.momentaryRate(nowMs);
	}

	/** Load at the moment, and the load above which it counts as a sudden rise: infinite while the usual load is unknown. */
	rates(nowMs: number): OrganisationRates {
		return {recentRate: this.recentRate(nowMs), riseThreshold: this.#isUsualKnown(nowMs) ? riseThresholdOf(this.#usual.rate(nowMs)) : Number.POSITIVE_INFINITY};
	}

	/** Share of its requests that were admitted, from 0 to 1, given the mean share of all organisations. */
	admittedShare({meanShare, nowMs}: {readonly meanShare: number; readonly nowMs: number}): number {
		return (this.#admitted.sum(nowMs) + (ASSUMED_REQUESTS * meanShare)) / (this.#offered.sum(nowMs) + ASSUMED_REQUESTS);
	}

	/** Whether the organisation sent requests recently. */
	isActive(nowMs: number): boolean {
		return this.#offered.sum(nowMs) >= MIN_ACTIVE_SUM;
	}

	/** Whether there is nothing left to remember. */
	isForgotten(nowMs: number): boolean {
		return this.#usual.sum(nowMs) < MIN_ACTIVE_SUM;
	}

	/** Whether the current request counts as excess, when this part of the requests does, from 0 to 1; at 0.5 every other request counts. */
	selectExcess(part: number): boolean {
		return this.#excessSelector.select(part);
	}

	#isUsualKnown(nowMs: number): boolean {
		return this.#usual.ageMs(nowMs) >= USUAL_MIN_AGE_MS;
	}
}

/** Requests per second above which the load of an organisation counts as a sudden rise. */
export function riseThresholdOf(usualRate: number): number {
	return (usualRate * RISE_FACTOR) + NOISE_RATE;
}
