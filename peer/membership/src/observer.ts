/** Counts the failed heartbeats to each subject and says when it counts as unreachable. */
import type {InstanceId} from '@pomelopick/core.types';

/** Heartbeats in a row without an answer before a subject counts as unreachable. */
const MOST_LOST = 3;
/** Refused connections in a row before a subject counts as unreachable. */
const MOST_REFUSED = 2;

/** How a heartbeat ended. */
export type HeartbeatOutcome = 'answered' | 'lost' | 'refused';

interface Subject {
	lost: number;
	refused: number;
}

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

	/** Counts one heartbeat. */
	record({subject, outcome}: {readonly subject: InstanceId; readonly outcome: HeartbeatOutcome}): void {
		const counts = this.#subjects.get(subject) ?? {lost: 0, refused: 0};
		this.#subjects.set(subject, {
			answered: {lost: 0, refused: 0},
			lost: {lost: counts.lost + 1, refused: 0},
			refused: {lost: counts.lost + 1, refused: counts.refused + 1},
		}[outcome]);
	}

	/** Forgets failures that this process itself may have caused, for example by standing still. */
	forgiveFailures(): void {
		this.#subjects.clear();
	}

	/** Forgets subjects other than these, and takes back what was found of them. */
	keepOnly(subjects: ReadonlySet<InstanceId>): void {
		for (const id of this.#subjects.keys()) {
			if (!subjects.has(id)) {
				this.#subjects.delete(id);
			}
		}

		for (const [id, {unreachable}] of this.#reported) {
			if (!subjects.has(id)) {
				this.#reported.delete(id);
				this.#takenBack.push(...unreachable ? [id] : []);
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
			const unreachable = refused || (counts.lost >= MOST_LOST && !isAlone);
			const isUndecided = counts.lost > 0 && !unreachable;
			const reported = this.#reported.get(id);
			if (!isUndecided && (reported?.unreachable ?? false) !== unreachable) {
				changes.set(id, {unreachable, refused});
				this.#reported.set(id, {unreachable, refused});
			}
		}

		return changes;
	}
}
