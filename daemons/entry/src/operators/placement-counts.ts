/** Counts the calls that this instance has at each backend server, independently of the placement in use. */
import type {BackendServerName} from '@pomelopick/core.types';
import type {AttemptEnd, PlaceCall, Placement} from '@pomelopick/calls.forwarding';

/** Options of {@link PlacementCounts}. */
export interface PlacementCountsOptions {
	/** Called for each placed call, after it has been counted. */
	readonly onPlaced: (server: BackendServerName) => void;
	/** Called for each ended call, after it has been removed from the count. */
	readonly onEnded: (server: BackendServerName) => void;
}

/** Counts the calls of a placement that it wraps. */
export class PlacementCounts {
	readonly #options: PlacementCountsOptions;
	readonly #inProgress = new Map<BackendServerName, number>();
	readonly #placed = new Map<BackendServerName, number>();

	constructor(options: PlacementCountsOptions) {
		this.#options = options;
	}

	/** Calls in progress by backend server; servers without any are left out. */
	get inProgress(): ReadonlyMap<BackendServerName, number> {
		return this.#inProgress;
	}

	/** Calls placed since the start by backend server. */
	get placed(): ReadonlyMap<BackendServerName, number> {
		return this.#placed;
	}

	/** Wraps a placement so that each call is counted from its placement until its release. */
	around(placeCall: PlaceCall): PlaceCall {
		return async options => {
			const placed = await placeCall(options);
			return placed.map(placement => this.#count(placement));
		};
	}

	#count(placement: Placement): Placement {
		const {server, failureDomain, why, waitedMs} = placement;
		const {name} = server;
		this.#add(name, 1);
		this.#placed.set(name, (this.#placed.get(name) ?? 0) + 1);
		this.#options.onPlaced(name);
		return {
			server,
			failureDomain,
			why,
			waitedMs,
			release: (end: AttemptEnd) => {
				this.#add(name, -1);
				this.#options.onEnded(name);
				placement.release(end);
			},
		};
	}

	#add(name: BackendServerName, change: number): void {
		const count = (this.#inProgress.get(name) ?? 0) + change;
		if (count === 0) {
			this.#inProgress.delete(name);
		} else {
			this.#inProgress.set(name, count);
		}
	}
}
