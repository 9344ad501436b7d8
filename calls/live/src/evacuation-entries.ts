/** Applies evacuations of failure domains in the store to the table of servers, and reports what changes. */
import type {FailureDomainName} from '@pomelopick/core.types';
import type {ServerTable} from '@pomelopick/steering.servers';
import type {ViewChange} from './view-change.js';

/** Options of {@link EvacuationEntries}. */
export interface EvacuationEntriesOptions {
	readonly servers: ServerTable;
	readonly onChange: (change: ViewChange) => void;
}

/** Options of {@link EvacuationEntries.write}. */
export interface WriteEvacuationOptions {
	readonly key: string;
	readonly failureDomain: FailureDomainName;
	readonly storeIndex: number;
}

/** Options of {@link EvacuationEntries.remove}. */
export interface RemoveEvacuationOptions extends WriteEvacuationOptions {
	/** Monotonic time until which the entry may be written again, in milliseconds; undefined: the evacuation has ended. */
	readonly retainedUntilMs: number | undefined;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

interface KnownEvacuation {
	readonly failureDomain: FailureDomainName;
	/** Monotonic time at which it ends unless its entry is written again, in milliseconds; undefined: the store has the entry. */
	readonly expiresAtMs: number | undefined;
}

/** The evacuations in the store. */
export class EvacuationEntries {
	readonly #options: EvacuationEntriesOptions;
	readonly #known = new Map<string, KnownEvacuation>();

	constructor(options: EvacuationEntriesOptions) {
		this.#options = options;
	}

	/** Lists the keys of the entries. */
	listKeys(): readonly string[] {
		return [...this.#known.keys()];
	}

	/** Applies a write. */
	write({key, failureDomain, storeIndex}: WriteEvacuationOptions): void {
		const {servers, onChange} = this.#options;
		this.#known.set(key, {failureDomain, expiresAtMs: undefined});
		if (!servers.evacuated.has(failureDomain)) {
			servers.evacuate(failureDomain);
			onChange({
				event: 'evacuation-begun', subject: failureDomain, detail: 'an operator started it', storeIndex,
			});
		}
	}

	/** Applies a removal. */
	remove({key, failureDomain, storeIndex, retainedUntilMs, nowMs}: RemoveEvacuationOptions): void {
		if (retainedUntilMs === undefined) {
			this.#end({
				key, failureDomain, storeIndex, nowMs, detail: 'an operator ended it',
			});
		} else {
			this.#known.set(key, {failureDomain, expiresAtMs: retainedUntilMs});
		}
	}

	/** Ends retained evacuations whose entries were not written again in time. */
	expire(nowMs: number): void {
		for (const [key, {failureDomain, expiresAtMs}] of this.#known) {
			if (expiresAtMs !== undefined && nowMs >= expiresAtMs) {
				this.#end({
					key, failureDomain, storeIndex: 0, nowMs, detail: 'the store returned from an older copy without it, and it was not written again in time',
				});
			}
		}
	}

	#end({key, failureDomain, storeIndex, nowMs, detail}: Omit<RemoveEvacuationOptions, 'retainedUntilMs'> & {readonly detail: string}): void {
		const {servers, onChange} = this.#options;
		this.#known.delete(key);
		servers.endEvacuation({failureDomain, nowMs});
		onChange({
			event: 'evacuation-ended', subject: failureDomain, detail, storeIndex,
		});
	}
}
