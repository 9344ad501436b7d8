/** Reports when an instance has read the store again and is registered again after a return of the store from an older copy. */
import type {DecisionLog} from '@pomelopick/core.telemetry';

/** Options of {@link StoreReturnReport}. */
export interface StoreReturnReportOptions {
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

interface HandledReturn {
	readonly era: number;
	/** Monotonic time at which the return was noticed, in milliseconds. */
	readonly noticedAtMs: number;
	/** Number of values that were read since; undefined: the store has not been read again yet. */
	values: number | undefined;
	isRegistered: boolean;
}

/** Collects what is done after a return. A further return starts anew. */
export class StoreReturnReport {
	readonly #options: StoreReturnReportOptions;
	#handled: HandledReturn | undefined;

	constructor(options: StoreReturnReportOptions) {
		this.#options = options;
	}

	/** Records that a return was noticed. */
	begin({era}: {readonly era: number}): void {
		this.#handled = {
			era, noticedAtMs: this.#options.now(), values: undefined, isRegistered: false,
		};
	}

	/** Records that the store was read. */
	recordRead({era, values}: {readonly era: number; readonly values: number}): void {
		if (this.#handled?.era === era) {
			this.#handled.values = values;
			this.#reportIfDone(this.#handled);
		}
	}

	/** Records that the record of this instance was written. */
	recordRegistered(): void {
		if (this.#handled) {
			this.#handled.isRegistered = true;
			this.#reportIfDone(this.#handled);
		}
	}

	#reportIfDone({era, noticedAtMs, values, isRegistered}: HandledReturn): void {
		if (values === undefined || !isRegistered) {
			return;
		}

		const {log, now} = this.#options;
		this.#handled = undefined;
		log.line('store-return-handled', {
			storeEra: era, values, tookMs: Math.round(now() - noticedAtMs), detail: 'the store was read again, and the record of this instance is written again',
		});
	}
}
