/**
 * The instances among which the owners of limited servers are chosen.
 *
 * A record that disappears from the store may be written again at once, so its instance remains a candidate for
 * RETENTION_MS. All instances with a current view notice that a record disappeared within MAX_VIEW_AGE_MS of each other.
 * SETTLING_MS after a candidate is gone, it is therefore no candidate in any current view, its own included.
 */
import type {InstanceId} from '@pomelopick/core.types';

/** Age from which a view of the fleet is outdated, in milliseconds: longer than the time between responses of an idle store. */
export const MAX_VIEW_AGE_MS = 3000;
/** Time for which an instance whose record disappeared remains a candidate, in milliseconds: a running instance writes its record again sooner. */
export const RETENTION_MS = 3000;
/** Time after a change of the candidates after which it has taken effect in all current views, in milliseconds. */
export const SETTLING_MS = RETENTION_MS + MAX_VIEW_AGE_MS;

/** An instance that is registered or was until a short time ago. */
export interface OwnerCandidate {
	readonly id: InstanceId;
	/** Monotonic time since which it has been a candidate, in milliseconds. */
	readonly sinceMs: number;
	/** Monotonic time at which its record disappeared, in milliseconds; undefined while it is registered. */
	readonly removedAtMs: number | undefined;
}

/** Options of {@link OwnerCandidates.update}. */
export interface UpdateCandidatesOptions {
	/** Instances that are registered now. */
	readonly instances: ReadonlyArray<{readonly id: InstanceId}>;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Keeps the candidates, with the times at which they joined and left. */
export class OwnerCandidates {
	#candidates: ReadonlyMap<InstanceId, OwnerCandidate> = new Map();
	#list: readonly OwnerCandidate[] = [];
	#generation = 0;

	/** Counter that grows whenever the list changes. */
	get generation(): number {
		return this.#generation;
	}

	/** The registered instances, and those that were registered within the settling time before the last update. */
	get list(): readonly OwnerCandidate[] {
		return this.#list;
	}

	/** Must be called whenever an instance was registered or removed. */
	update({instances, nowMs}: UpdateCandidatesOptions): void {
		const registered = new Set(instances.map(({id}) => id));
		const removed = [...this.#candidates.values()].filter(({id}) => !registered.has(id)).map(candidate => ({...candidate, removedAtMs: candidate.removedAtMs ?? nowMs}));
		const kept = removed.filter(({removedAtMs}) => nowMs - removedAtMs < SETTLING_MS);
		const present = [...registered].map((id): OwnerCandidate => ({id, sinceMs: this.#findSince({id, nowMs}), removedAtMs: undefined}));
		this.#list = [...present, ...kept];
		this.#candidates = new Map(this.#list.map(candidate => [candidate.id, candidate]));
		this.#generation += 1;
	}

	#findSince({id, nowMs}: {readonly id: InstanceId; readonly nowMs: number}): number {
		const known = this.#candidates.get(id);
		return known && isCandidate({candidate: known, nowMs}) ? known.sinceMs : nowMs;
	}
}

/** Whether an instance is registered, or its record disappeared so recently that it may be written again. */
export function isCandidate({candidate: {removedAtMs}, nowMs}: {readonly candidate: OwnerCandidate; readonly nowMs: number}): boolean {
	return removedAtMs === undefined || nowMs - removedAtMs < RETENTION_MS;
}
