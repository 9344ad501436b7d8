/** News that each neighbour has yet to be told. */
import type {InstanceId} from '@pomelopick/core.types';
import type {MemberRecord, News, Observation} from './member.js';

interface Pending {
	readonly records: Map<InstanceId, MemberRecord>;
	readonly observations: Map<string, Observation>;
}

/** Options of {@link Outbox.add}. */
export interface AddNewsOptions {
	readonly news: News;
	readonly neighbours: Iterable<InstanceId>;
	/** Neighbour that told the news, which is not told again. */
	readonly except?: InstanceId;
}

/** Keeps the newest news a neighbour; its size is bounded by what there is to know. */
export class Outbox {
	readonly #pending = new Map<InstanceId, Pending>();

	/** Adds news for each neighbour; newer news about the same thing takes the place of older. */
	add({news, neighbours, except}: AddNewsOptions): void {
		for (const neighbour of neighbours) {
			if (neighbour !== except) {
				this.#put({neighbour, news, replaces: true});
			}
		}
	}

	/** Whether a neighbour has yet to be told something. */
	has(neighbour: InstanceId): boolean {
		return this.#pending.has(neighbour);
	}

	/** Takes out what a neighbour has yet to be told. */
	take(neighbour: InstanceId): News {
		const pending = this.#pending.get(neighbour);
		this.#pending.delete(neighbour);
		return {records: [...pending?.records.values() ?? []], observations: [...pending?.observations.values() ?? []]};
	}

	/** Puts back news that did not arrive, unless there is newer. */
	putBack({neighbour, news}: {readonly neighbour: InstanceId; readonly news: News}): void {
		this.#put({neighbour, news, replaces: false});
	}

	/** Forgets neighbours other than these. */
	keepOnly(neighbours: ReadonlySet<InstanceId>): void {
		for (const id of this.#pending.keys()) {
			if (!neighbours.has(id)) {
				this.#pending.delete(id);
			}
		}
	}

	#put({neighbour, news, replaces}: {readonly neighbour: InstanceId; readonly news: News; readonly replaces: boolean}): void {
		const pending = this.#pending.get(neighbour) ?? {records: new Map<InstanceId, MemberRecord>(), observations: new Map<string, Observation>()};
		for (const record of news.records) {
			if (replaces || !pending.records.has(record.instance.id)) {
				pending.records.set(record.instance.id, record);
			}
		}

		for (const observation of news.observations) {
			const key = `${observation.subject} ${observation.observer}`;
			if (replaces || !pending.observations.has(key)) {
				pending.observations.set(key, observation);
			}
		}

		this.#pending.set(neighbour, pending);
	}
}
