/** Watches the load of this instance, limits its requests while it is overloaded, and states in its record when it is full. */
import {initialOverload, nextOverload} from '@pomelopick/steering.limits';
import type {InstanceLoad, OverloadState} from '@pomelopick/steering.limits';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';

/** Options of {@link OverloadWatch}. */
export interface OverloadWatchOptions {
	/** Whether the settings state the capacity of this instance; otherwise nothing is limited or stated. */
	readonly isEnabled: boolean;
	/** Maximum number of requests in progress. */
	readonly maxRequests: number;
	readonly load: () => Pick<InstanceLoad, 'inProgress' | 'heldShare'>;
	/** Called when the instance becomes full, and when it is no longer full. */
	readonly onChange: (isFull: boolean) => void;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
}

/** Tracks whether this instance is overloaded or full. */
export class OverloadWatch {
	readonly #options: OverloadWatchOptions;
	#state: OverloadState;

	constructor(options: OverloadWatchOptions) {
		this.#options = options;
		this.#state = initialOverload(options.maxRequests);
	}

	/** Maximum number of requests in progress for now. */
	get requestLimit(): number {
		return this.#state.requestLimit;
	}

	/** Whether callers are asked to connect to other instances. */
	get isFull(): boolean {
		return this.#state.isFull;
	}

	/** Records the mean delay of the event loop since the last call, in milliseconds. */
	record(delayMs: number): void {
		const {isEnabled, maxRequests, load, onChange, counters, log} = this.#options;
		if (!isEnabled) {
			return;
		}

		const wasFull = this.#state.isFull;
		const {inProgress, heldShare} = load();
		this.#state = nextOverload(this.#state, {
			inProgress, heldShare, maxRequests, delayMs,
		});
		const {isFull, requestLimit} = this.#state;
		if (isFull === wasFull) {
			return;
		}

		counters.add(isFull ? 'overload.full' : 'overload.ended');
		log.line(isFull ? 'instance-full' : 'instance-free', {
			inProgress, most: requestLimit, heldShare: Number(heldShare.toFixed(2)), delayMs: Math.round(delayMs),
		});
		onChange(isFull);
	}
}
