/**
 * Counts the failed heartbeats to each subject and says when it counts as unreachable.
 *
 * Doubts one's own health first: A. Dadgar, J. Phillips and J. Currey, "Lifeguard: Local Health Awareness
 * for More Accurate Failure Detection", DSN 2018.
 */
import type {InstanceId} from '@pomelopick/core.types';

/** Heartbeats in a row without an answer before a subject counts as unreachable. */
const MOST_LOST = 3;
/** Refused connections in a row before a subject counts as unreachable. */
const MOST_REFUSED = 2;
/** The same for a subject whose last finding had to be taken back, so that an overloaded one does not cause news again and again. */
const MOST_LOST_AFTER_RETRACTION = 8;
/** Answers in a row after which a retraction is forgotten. */
const ANSWERS_TO_TRUST = 30;

/** How a heartbeat ended. */
export type HeartbeatOutcome = 'answered' | 'lost' | 'refused';

interface Subject {
	/** Heartbeats in a row without an answer. */
	readonly lost: number;
	readonly refused: number;
	/** Heartbeats in a row with an answer. */
	readonly answered: number;
}

const noHeartbeats: Subject = {lost: 0, refused: 0, answered: 0};

/** A change of what this instance finds of a subject. */
export interface Finding {
	readonly unreachable: boolean;
	readonly refused: boolean;
}

/** The findings of one observer. */
export class Observer {
	readonly #subjects = new Map<InstanceId, Subject>();
	readonly #reported = new Map<InstanceId, Finding>();
	readonly #takenBack: InstanceId[] = [];
	readonly #retracted = new Set<InstanceId>();

	/** Counts one heartbeat. */
	record({subject, outcome}: {readonly subject: InstanceId; readonly outcome: HeartbeatOutcome}): void {
		const {lost, refused, answered} = this.#subjects.get(subject) ?? noHeartbeats;
		const next: Record<HeartbeatOutcome, Subject> = {
			answered: {...noHeartbeats, answered: answered + 1},
			lost: {...noHeartbeats, lost: lost + 1},
			refused: {...noHeartbeats, lost: lost + 1, refused: refused + 1},
		};
		this.#subjects.set(subject, next[outcome]);
		if (next[outcome].answered >= ANSWERS_TO_TRUST) {
			this.#retracted.delete(subject);
		}
	}

	/** Forgets failures that this process itself may have caused, for example by standing still. */
	forgiveFailures(): void {
		this.#subjects.clear();
	}

	/**
	 * Forgets subjects other than these, and takes back what was found of those that are still known.
	 *
	 * Others may still know an instance that has left the list here: taking its finding back would revive it there.
	 */
	keepOnly({subjects, isKnown}: {readonly subjects: ReadonlySet<InstanceId>; readonly isKnown: (id: InstanceId) => boolean}): void {
		for (const id of this.#subjects.keys()) {
			if (!subjects.has(id)) {
				this.#subjects.delete(id);
				this.#retracted.delete(id);
			}
		}

		for (const [id, {unreachable}] of this.#reported) {
			if (!subjects.has(id)) {
				this.#reported.delete(id);
				this.#takenBack.push(...unreachable && isKnown(id) ? [id] : []);
			}
		}
	}

	/**
	 * Findings that changed since the last time.
	 *
	 * When no subject answers, the fault is more likely here than at all of them: only refused connections count then.
	 */
	takeChanges(): ReadonlyMap<InstanceId, Finding> {
		const isAlone = this.#subjects.size > 1 && [...this.#subjects.values()].every(({lost}) => lost > 0);
		const changes = new Map<InstanceId, Finding>(this.#takenBack.splice(0).map(id => [id, {unreachable: false, refused: false}]));
		for (const [id, counts] of this.#subjects) {
			const refused = counts.refused >= MOST_REFUSED;
			const mostLost = this.#retracted.has(id) ? MOST_LOST_AFTER_RETRACTION : MOST_LOST;
			const unreachable = refused || (counts.lost >= mostLost && !isAlone);
			const isUndecided = counts.lost > 0 && !unreachable;
			const reported = this.#reported.get(id);
			if (!isUndecided && (reported?.unreachable ?? false) !== unreachable) {
				changes.set(id, {unreachable, refused});
				this.#reported.set(id, {unreachable, refused});
				if (!unreachable) {
					this.#retracted.add(id);
				}
			}
		}

		return changes;
	}
}
