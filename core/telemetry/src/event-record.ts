/** A bounded in-memory record of events of one instance, such as decisions, repairs and refusals. */

/** Kind of an event. */
export type EventKind = 'decision' | 'refusal' | 'retry' | 'repair' | 'membership' | 'configuration' | 'drain' | 'shift' | 'quarantine' | 'store' | 'lifecycle';

/** One entry of the record. */
export interface RecordedEvent {
	/** Position in this instance's record; grows by one. */
	readonly sequence: number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly atMs: number;
	readonly kind: EventKind;
	readonly message: string;
	readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Options of {@link EventRecord}. */
export interface EventRecordOptions {
	/** Maximum number of entries; the oldest ones are removed first. */
	readonly capacity: number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly now: () => number;
	/** Called with each event. */
	readonly onAdd?: (event: RecordedEvent) => void;
}

/** Options of {@link EventRecord.add}. */
export interface AddEventOptions {
	readonly kind: EventKind;
	readonly message: string;
	readonly fields?: Readonly<Record<string, string | number | boolean>>;
}

/** A ring buffer with the newest events. */
export class EventRecord {
	readonly #capacity: number;
	readonly #now: () => number;
	readonly #onAdd: ((event: RecordedEvent) => void) | undefined;
	readonly #events: RecordedEvent[] = [];
	#nextSequence = 1;

	constructor({capacity, now, onAdd}: EventRecordOptions) {
		this.#capacity = capacity;
		this.#now = now;
		this.#onAdd = onAdd;
	}

	/** Records an event. */
	add({kind, message, fields = {}}: AddEventOptions): void {
		const event: RecordedEvent = {
			sequence: this.#nextSequence, atMs: this.#now(), kind, message, fields,
		};
		this.#onAdd?.(event);
		this.#events[(this.#nextSequence - 1) % this.#capacity] = event;
		this.#nextSequence += 1;
	}

	/** The recorded events with a sequence above `after`, oldest first. */
	list({after = 0}: {readonly after?: number} = {}): readonly RecordedEvent[] {
		return this.#events.filter(event => event.sequence > after).sort((left, right) => left.sequence - right.sequence);
	}
}
