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

/** Records and observations of one message at most. */
const MOST_NEWS = 128;
/** The same at least, however many messages were lost. */
const LEAST_NEWS = 4;
/** What a lost message divides the size of the next by. */
const LOSS_DIVISOR = 4;

/**
 * Keeps the newest news a neighbour; its size is bounded by what there is to know.
 *
 * The size of messages to a neighbour falls with each that is lost and doubles with each that arrived: large ones that
 * miss their deadline at an overloaded instance would be sent whole again and again, and be the overload.
 */
export class Outbox {
	readonly #mostNews = new Map<InstanceId, number>();
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

	/** Takes out what a neighbour is told next: findings first, as much as one message may hold. */
	take(neighbour: InstanceId): News {
		const pending = this.#pending.get(neighbour);
		if (!pending) {
			return {records: [], observations: []};
		}

		const most = this.#mostNews.get(neighbour) ?? MOST_NEWS;
		const observations = takeOut({from: pending.observations, most});
		const records = takeOut({from: pending.records, most: most - observations.length});
		if (pending.records.size === 0 && pending.observations.size === 0) {
			this.#pending.delete(neighbour);
		}

		return {records, observations};
	}

	/** Notes that a neighbour answered, so that it may be told more at once. */
	noteArrival(neighbour: InstanceId): void {
		const most = this.#mostNews.get(neighbour);
		if (most !== undefined && most * 2 < MOST_NEWS) {
			this.#mostNews.set(neighbour, most * 2);
		} else {
			this.#mostNews.delete(neighbour);
		}
	}

	/** Puts back news that did not arrive, unless there is newer, and makes the next message smaller. */
	putBack({neighbour, news}: {readonly neighbour: InstanceId; readonly news: News}): void {
		const most = this.#mostNews.get(neighbour) ?? MOST_NEWS;
		this.#mostNews.set(neighbour, Math.max(LEAST_NEWS, Math.floor(most / LOSS_DIVISOR)));
		if (news.records.length > 0 || news.observations.length > 0) {
			this.#put({neighbour, news, replaces: false});
		}
	}

	/** Forgets neighbours other than these. */
	keepOnly(neighbours: ReadonlySet<InstanceId>): void {
		for (const map of [this.#pending, this.#mostNews]) {
			for (const id of map.keys()) {
				if (!neighbours.has(id)) {
					map.delete(id);
				}
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

/** Takes the oldest values out of a map. */
function takeOut<Key, Value>({from, most}: {readonly from: Map<Key, Value>; readonly most: number}): readonly Value[] {
	const taken = [...from].slice(0, Math.max(0, most));
	for (const [key] of taken) {
		from.delete(key);
	}

	return taken.map(([, value]) => value);
}
