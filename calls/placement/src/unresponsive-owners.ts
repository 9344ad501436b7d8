/** Owners of slots that have gone silent. */
import type {InstanceId} from '@pomelopick/core.types';

/** Time for which a silent owner is not asked, in milliseconds. */
export const UNRESPONSIVE_OWNER_SKIP_MS = 2000;

interface OwnerState {
	skippedUntilMs: number;
	readonly controller: AbortController;
}

/** Keeps which owners are suspected to be silent. One entry an instance that was asked. */
export class UnresponsiveOwners {
	readonly #now: () => number;
	readonly #owners = new Map<InstanceId, OwnerState>();

	/** The time is monotonic, in milliseconds. */
	constructor({now}: {readonly now: () => number}) {
		this.#now = now;
	}

	/** Whether an owner is not asked now. */
	isUnresponsive(id: InstanceId): boolean {
		return this.#now() < (this.#owners.get(id)?.skippedUntilMs ?? Number.NEGATIVE_INFINITY);
	}

	/** Requests that wait at a suspect owner are given up and placed elsewhere. */
	markUnresponsive(id: InstanceId): void {
		this.#owners.get(id)?.controller.abort();
		this.#owners.set(id, {skippedUntilMs: this.#now() + UNRESPONSIVE_OWNER_SKIP_MS, controller: new AbortController()});
	}

	/** Aborted when the owner is suspected next. */
	signalFor(id: InstanceId): AbortSignal {
		const known = this.#owners.get(id) ?? {skippedUntilMs: Number.NEGATIVE_INFINITY, controller: new AbortController()};
		this.#owners.set(id, known);
		return known.controller.signal;
	}
}
