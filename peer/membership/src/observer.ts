/**
 * Counts failed heartbeats to each subject and decides when a subject is unreachable.
 *
 * Considers a fault of this instance itself first, as in A. Dadgar, J. Phillips and J. Currey, "Lifeguard: Local Health
 * Awareness for More Accurate Failure Detection", DSN 2018.
 */
import type {InstanceId} from '@pomelopick/core.types';

/** Consecutive heartbeats without a response after which a subject is considered unreachable. */
const LOST_TO_UNREACHABLE = 3;
/** Consecutive refused connections after which a subject is considered unreachable. */
const REFUSED_TO_UNREACHABLE = 2;
/**
 * Consecutive heartbeats without a response after which a subject is considered unreachable once that was retracted.
 * Higher, so that an overloaded subject does not cause updates again and again.
 */
const LOST_TO_UNREACHABLE_AFTER_RETRACTION = 8;
/** Consecutive responses after which a retraction is forgotten. */
const RESPONSES_TO_FORGET_RETRACTION = 30;

/** How a heartbeat ended. */
export type HeartbeatOutcome = 'answered' | 'lost' | 'refused';

interface Subject {
	/** Consecutive heartbeats without a response. */
	readonly lost: number;
	/** Consecutive refused connections. */
	readonly refused: number;
	/** Consecutive heartbeats with a response. */
	readonly answered: number;
}

const noHeartbeats: Subject = {lost: 0, refused: 0, answered: 0};

/** What this instance finds about a subject. */
export interface Finding {
	readonly unreachable: boolean;
	readonly refused: boolean;
}

/** The findings of one observer. */
export class Observer {
	readonly #subjects = new Map<InstanceId, Subject>();
	readonly #reported = new Map<InstanceId, Finding>();
	readonly #pendingRetractions: InstanceId[] = [];
	readonly #recentlyRetracted = new Set<InstanceId>();

	/** Counts one heartbeat. */
	record({subject, outcome}: {readonly subject: InstanceId; readonly outcome: HeartbeatOutcome}): void {
		const {lost, refused, answered} = this.#subjects.get(subject) ?? noHeartbeats;
		const next: Record<HeartbeatOutcome, Subject> = {
			answered: {...noHeartbeats, answered: answered + 1},
			lost: {...noHeartbeats, lost: lost + 1},
			refused: {...noHeartbeats, lost: lost + 1, refused: refused + 1},
		};
		this.#subjects.set(subject, next[outcome]);
		if (next[outcome].answered >= RESPONSES_TO_FORGET_RETRACTION) {
			this.#recentlyRetracted.delete(subject);
		}
	}

	/** Discards counted failures that this process itself may have caused, for example while it was stalled. */
	discardFailures(): void {
		this.#subjects.clear();
	}

	/**
	 * Discards all subjects other than these, and retracts their unreachable findings, as far as they are still known.
	 *
	 * Other instances may still know an instance that has left the list here: a retraction would make it alive again there.
	 */
	keepOnly({subjects, isKnown}: {readonly subjects: ReadonlySet<InstanceId>; readonly isKnown: (id: InstanceId) => boolean}): void {
		for (const id of this.#subjects.keys()) {
			if (!subjects.has(id)) {
				this.#subjects.delete(id);
				this.#recentlyRetracted.delete(id);
			}
		}

		for (const [id, {unreachable}] of this.#reported) {
			if (!subjects.has(id)) {
				this.#reported.delete(id);
				this.#pendingRetractions.push(...unreachable && isKnown(id) ? [id] : []);
			}
		}
	}

	/**
	 * Returns the findings that have changed since the last call.
	 *
	 * When no subject responds, the fault is more likely at this instance than at all of them, so that only refused
	 * connections count.
	 */
	takeChanges(): ReadonlyMap<InstanceId, Finding> {
		const isEverySubjectFailing = this.#subjects.size > 1 && [...this.#subjects.values()].every(({lost}) => lost > 0);
		const changes = new Map<InstanceId, Finding>(this.#pendingRetractions.splice(0).map(id => [id, {unreachable: false, refused: false}]));
		for (const [id, counts] of this.#subjects) {
			const refused = counts.refused >= REFUSED_TO_UNREACHABLE;
			const lostLimit = this.#recentlyRetracted.has(id) ? LOST_TO_UNREACHABLE_AFTER_RETRACTION : LOST_TO_UNREACHABLE;
			const unreachable = refused || (counts.lost >= lostLimit && !isEverySubjectFailing);
			const isUndecided = counts.lost > 0 && !unreachable;
			const reported = this.#reported.get(id);
			if (!isUndecided && (reported?.unreachable ?? false) !== unreachable) {
				changes.set(id, {unreachable, refused});
				this.#reported.set(id, {unreachable, refused});
				if (!unreachable) {
					this.#recentlyRetracted.add(id);
				}
			}
		}

		return changes;
	}
}
