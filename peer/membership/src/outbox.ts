/** Updates that are pending for each neighbour. */
import type {InstanceId} from '@pomelopick/core.types';
import type {MemberRecord, MembershipUpdates, Observation} from './member.js';

interface Pending {
	readonly records: Map<InstanceId, MemberRecord>;
	readonly observations: Map<string, Observation>;
}

/** Options of {@link Outbox.add}. */
export interface AddUpdatesOptions {
	readonly updates: MembershipUpdates;
	readonly neighbours: Iterable<InstanceId>;
	/** Neighbour that sent the updates and so does not need them. */
	readonly except?: InstanceId;
}

/** Maximum number of records and observations in one message. */
const MAX_UPDATES = 128;
/** Lower bound of that limit, to which lost messages can reduce it. */
const MIN_UPDATES = 4;
/** Divisor by which a lost message reduces the limit. */
const LOSS_DIVISOR = 4;

/**
 * Keeps the latest updates for each neighbour; at most one for each record and observation.
 *
 * The maximum size of messages to a neighbour is reduced with each lost message and doubled with each that arrived.
 * Otherwise large messages that miss their deadline at an overloaded instance would be sent again and again at full size,
 * and sustain the overload.
 */
export class Outbox {
	readonly #maxUpdates = new Map<InstanceId, number>();
	readonly #pending = new Map<InstanceId, Pending>();

	/** Adds updates for each neighbour; they replace pending ones for the same record or observation. */
	add({updates, neighbours, except}: AddUpdatesOptions): void {
		for (const neighbour of neighbours) {
			if (neighbour !== except) {
				this.#put({neighbour, updates, replaces: true});
			}
		}
	}

	/** Whether updates are pending for a neighbour. */
	has(neighbour: InstanceId): boolean {
		return this.#pending.has(neighbour);
	}

	/** Removes and returns the next updates for a neighbour: observations first, up to the limit of one message. */
	take(neighbour: InstanceId): MembershipUpdates {
		const pending = this.#pending.get(neighbour);
		if (!pending) {
			return {records: [], observations: []};
		}

		const limit = this.#maxUpdates.get(neighbour) ?? MAX_UPDATES;
		const observations = takeOut({from: pending.observations, limit});
		const records = takeOut({from: pending.records, limit: limit - observations.length});
		if (pending.records.size === 0 && pending.observations.size === 0) {
			this.#pending.delete(neighbour);
		}

		return {records, observations};
	}

	/** Records that a neighbour responded, which raises its message limit. */
	recordArrival(neighbour: InstanceId): void {
		const limit = this.#maxUpdates.get(neighbour);
		if (limit !== undefined && limit * 2 < MAX_UPDATES) {
			this.#maxUpdates.set(neighbour, limit * 2);
		} else {
			this.#maxUpdates.delete(neighbour);
		}
	}

	/** Puts back updates that did not arrive, unless newer ones are pending, and lowers the message limit. */
	putBack({neighbour, updates}: {readonly neighbour: InstanceId; readonly updates: MembershipUpdates}): void {
		const limit = this.#maxUpdates.get(neighbour) ?? MAX_UPDATES;
		this.#maxUpdates.set(neighbour, Math.max(MIN_UPDATES, Math.floor(limit / LOSS_DIVISOR)));
		if (updates.records.length > 0 || updates.observations.length > 0) {
			this.#put({neighbour, updates, replaces: false});
		}
	}

	/** Discards all neighbours other than these. */
	keepOnly(neighbours: ReadonlySet<InstanceId>): void {
		for (const map of [this.#pending, this.#maxUpdates]) {
			for (const id of map.keys()) {
				if (!neighbours.has(id)) {
					map.delete(id);
				}
			}
		}
	}

	#put({neighbour, updates, replaces}: {readonly neighbour: InstanceId; readonly updates: MembershipUpdates; readonly replaces: boolean}): void {
		const pending = this.#pending.get(neighbour) ?? {records: new Map<InstanceId, MemberRecord>(), observations: new Map<string, Observation>()};
		for (const record of updates.records) {
			if (replaces || !pending.records.has(record.instance.id)) {
				pending.records.set(record.instance.id, record);
			}
		}

		for (const observation of updates.observations) {
			const key = `${observation.subject} ${observation.observer}`;
			if (replaces || !pending.observations.has(key)) {
				pending.observations.set(key, observation);
			}
		}

		this.#pending.set(neighbour, pending);
	}
}

/** Removes the oldest values from a map and returns them. */
function takeOut<Key, Value>({from, limit}: {readonly from: Map<Key, Value>; readonly limit: number}): readonly Value[] {
	const taken = [...from].slice(0, Math.max(0, limit));
	for (const [key] of taken) {
		from.delete(key);
	}

	return taken.map(([, value]) => value);
}
