/** Owners of slots that have gone silent. */
import type {InstanceId} from '@pomelopick/core.types';

/** Time for which a silent owner is not asked, in milliseconds. */
export const SUSPECT_MS = 2000;

interface Suspicion {
	untilMs: number;
	readonly controller: AbortController;
}

/** Keeps which owners are suspected to be silent. One entry an instance that was asked. */
export class OwnerSuspicions {
	readonly #now: () => number;
	readonly #suspicions = new Map<InstanceId, Suspicion>();

	/** The time is monotonic, in milliseconds. */
	constructor({now}: {readonly now: () => number}) {
		this.#now = now;
	}

	/** Whether an owner is not asked now. */
	isSuspect(id: InstanceId): boolean {
		return this.#now() < (this.#suspicions.get(id)?.untilMs ?? Number.NEGATIVE_INFINITY);
	}

	/** Requests that wait at a suspect owner are given up and placed elsewhere. */
	suspect(id: InstanceId): void {
		this.#suspicions.get(id)?.controller.abort();
		this.#suspicions.set(id, {untilMs: this.#now() + SUSPECT_MS, controller: new AbortController()});
	}

	/** Aborted when the owner is suspected next. */
	signalOf(id: InstanceId): AbortSignal {
		const known = this.#suspicions.get(id) ?? {untilMs: Number.NEGATIVE_INFINITY, controller: new AbortController()};
		this.#suspicions.set(id, known);
		return known.controller.signal;
	}
}
