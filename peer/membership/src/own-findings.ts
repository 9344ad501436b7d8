/** Turns this instance's findings about its subjects into observations for the other instances. */
import type {InstanceId} from '@pomelopick/core.types';
import type {Observation} from './member.js';
import type {MemberTable} from './member-table.js';
import type {Observer} from './observer.js';

/** Options of {@link OwnFindings}. */
export interface OwnFindingsOptions {
	readonly observer: Observer;
	readonly table: MemberTable;
	/** Wall-clock time, in milliseconds. */
	readonly wallClock: () => number;
}

/** Numbers the observations of this instance. The numbers also grow across restarts, since they start from the wall clock. */
export class OwnFindings {
	readonly #options: OwnFindingsOptions;
	#lastSequence = 0;

	constructor(options: OwnFindingsOptions) {
		this.#options = options;
	}

	/** Returns observations for the findings that have changed since the last call. */
	take(self: InstanceId): readonly Observation[] {
		const {observer, table, wallClock} = this.#options;
		const observations: Observation[] = [];
		for (const [subject, {unreachable, refused}] of observer.takeChanges()) {
			this.#lastSequence = Math.max(this.#lastSequence + 1, wallClock());
			observations.push({
				subject, subjectIncarnation: table.describe(subject)?.incarnation ?? 0, observer: self, sequence: this.#lastSequence, unreachable, refused,
			});
		}

		return observations;
	}
}
