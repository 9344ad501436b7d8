/** The instances that this one exchanges heartbeats with. */
import type {InstanceId} from '@pomelopick/core.types';
import type {MemberTable} from './member-table.js';
import {RecentSenders} from './recent-senders.js';

/** Options of {@link Neighbourhood}. */
export interface NeighbourhoodOptions {
	readonly table: MemberTable;
	/** Id of this instance. */
	readonly self: () => InstanceId;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** The subjects, which this instance observes, and the recent senders of heartbeats, which observe this instance. */
export class Neighbourhood {
	readonly #options: NeighbourhoodOptions;
	readonly #senders = new RecentSenders();

	constructor(options: NeighbourhoodOptions) {
		this.#options = options;
	}

	/** Records that an instance sent a heartbeat. */
	recordSender(id: InstanceId): void {
		this.#senders.record({id, nowMs: this.#options.now()});
	}

	/** Instances that this one observes. */
	subjects(): ReadonlySet<InstanceId> {
		const {table, self} = this.#options;
		return table.overlay.subjectsOf({observer: self(), isAlive: id => !table.isDead(id)});
	}

	/** The subjects and the instances that observe this one. */
	all(): ReadonlySet<InstanceId> {
		return new Set([...this.subjects(), ...this.#senders.list(this.#options.now())]);
	}
}
