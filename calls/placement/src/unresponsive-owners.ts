/** Tracks slot owners that do not respond. */
import type {InstanceId} from '@pomelopick/core.types';

/** Time for which an unresponsive owner gets no requests, in milliseconds. */
export const UNRESPONSIVE_OWNER_SKIP_MS = 2000;

interface OwnerState {
	skippedUntilMs: number;
	readonly controller: AbortController;
}

/** Tracks which owners are unresponsive, with one entry per instance from which slots were requested. */
export class UnresponsiveOwners {
	readonly #now: () => number;
	readonly #owners = new Map<InstanceId, OwnerState>();

	/** `now` returns monotonic time, in milliseconds. */
	constructor({now}: {readonly now: () => number}) {
		this.#now = now;
	}

	/** Whether an owner currently gets no requests. */
	isUnresponsive(id: InstanceId): boolean {
		return this.#now() < (this.#owners.get(id)?.skippedUntilMs ?? Number.NEGATIVE_INFINITY);
	}

	/** Marks an owner as unresponsive. Pending requests to it are aborted, so that they can be placed elsewhere. */
	markUnresponsive(id: InstanceId): void {
		this.#owners.get(id)?.controller.abort();
		this.#owners.set(id, {skippedUntilMs: this.#now() + UNRESPONSIVE_OWNER_SKIP_MS, controller: new AbortController()});
	}

	/** Returns a signal that aborts when the owner is next marked as unresponsive. */
	signalFor(id: InstanceId): AbortSignal {
		const known = this.#owners.get(id) ?? {skippedUntilMs: Number.NEGATIVE_INFINITY, controller: new AbortController()};
		this.#owners.set(id, known);
		return known.controller.signal;
	}
}
