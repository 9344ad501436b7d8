/** Max-min fair shares of the recently active organisations in what this instance admits. Their weights are equal. */
import {DecayingTally} from './decaying-tally.js';
import {divideFairly} from './fair-division.js';
import type {FairDivision, ShareHolder} from './fair-division.js';
import {findOrCreate} from './find-or-create.js';
import {FLEET_DECAY_MS, OrganisationLoad, SHARE_DECAY_MS} from './organisation-load.js';
import type {OrganisationRates} from './organisation-load.js';

/** Time for which a division is used, in milliseconds. */
const DIVISION_AGE_MS = 100;

/** Options of the methods of {@link FairShares}. */
export interface ShareOptions {
	readonly holder: ShareHolder;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link FairShares.recordOffered}. */
export interface RecordOfferedOptions extends ShareOptions {
	/** Load of the organisation at all instances; undefined: it is not known. */
	readonly fleet?: OrganisationRates | undefined;
}

/** Loads and shares of the organisations in one group of requests. */
export class FairShares {
	readonly #loads = new Map<ShareHolder, OrganisationLoad>();
	#admitted: DecayingTally | undefined;
	#offered: DecayingTally | undefined;
	#momentaryAdmitted: DecayingTally | undefined;
	#momentaryOffered: DecayingTally | undefined;
	/** Computed before a request is recorded, as a request that is not decided yet would count as refused. */
	#division: FairDivision = {excess: new Map(), equalPart: Number.POSITIVE_INFINITY};
	#dividedAtMs = Number.NEGATIVE_INFINITY;

	/** Records a request, and returns the load of its organisation. */
	recordOffered({holder, fleet, nowMs}: RecordOfferedOptions): OrganisationLoad {
		this.#divideIfDue(nowMs);
		const load = findOrCreate({map: this.#loads, key: holder, create: () => new OrganisationLoad(nowMs)});
		load.recordOffered({fleet, nowMs});
		this.#offered ??= new DecayingTally({decayMs: SHARE_DECAY_MS, nowMs});
		this.#offered.add(1, nowMs);
		this.#momentaryOffered ??= new DecayingTally({decayMs: FLEET_DECAY_MS, nowMs});
		this.#momentaryOffered.add(1, nowMs);
		return load;
	}

	/** Records that the last request of an organisation was admitted. */
	recordAdmitted({holder, nowMs}: ShareOptions): void {
		this.#loads.get(holder)?.recordAdmitted(nowMs);
		this.#admitted ??= new DecayingTally({decayMs: SHARE_DECAY_MS, nowMs});
		this.#admitted.add(1, nowMs);
		this.#momentaryAdmitted ??= new DecayingTally({decayMs: FLEET_DECAY_MS, nowMs});
		this.#momentaryAdmitted.add(1, nowMs);
	}

	/** Part of the requests of an organisation that is above its fair share, from 0 to 1. */
	excess(holder: ShareHolder): number {
		return this.#division.excess.get(holder) ?? 0;
	}

	/** Requests per second of each active organisation if all had the same part of what is admitted: a smaller demand is met in any fair division. */
	get equalPart(): number {
		return this.#division.equalPart;
	}

	/** Load of an organisation; undefined: it sent nothing that is remembered. */
	loadOf(holder: ShareHolder): OrganisationLoad | undefined {
		return this.#loads.get(holder);
	}

	/** Lists the loads that are remembered. */
	list(): ReadonlyArray<readonly [ShareHolder, OrganisationLoad]> {
		return [...this.#loads];
	}

	/** Requests per second at the moment, and those of them that are admitted. */
	momentaryRates(nowMs: number): {readonly offeredRate: number; readonly admittedRate: number} {
		return {offeredRate: this.#momentaryOffered?.rate(nowMs) ?? 0, admittedRate: this.#momentaryAdmitted?.rate(nowMs) ?? 0};
	}

	/** Share of the recent requests that were admitted, from 0 to 1. */
	admittedShare(nowMs: number): number {
		const offered = this.#offered?.sum(nowMs) ?? 0;
		return offered === 0 ? 1 : Math.min(1, (this.#admitted?.sum(nowMs) ?? 0) / offered);
	}

	#divideIfDue(nowMs: number): void {
		if (nowMs - this.#dividedAtMs >= DIVISION_AGE_MS) {
			this.#dividedAtMs = nowMs;
			this.#division = this.#divide(nowMs);
		}
	}

	#divide(nowMs: number): FairDivision {
		const demands = new Map<ShareHolder, number>();
		for (const [holder, load] of this.#loads) {
			if (load.isActive(nowMs)) {
				demands.set(holder, load.offeredRate(nowMs));
			} else if (load.isForgotten(nowMs)) {
				this.#loads.delete(holder);
			}
		}

		return divideFairly({demands, capacity: this.#admitted?.rate(nowMs) ?? 0});
	}
}
