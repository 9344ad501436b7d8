/** Merges the events that all instances recorded, ordered by time. */
import type {RecordedEvent} from '@pomelopick/core.telemetry';

/** An event and the instance that recorded it. */
export interface FleetEvent extends RecordedEvent {
	readonly instance: string;
}

/** Options of {@link EventMerger.add}. */
export interface AddEventsOptions {
	readonly instance: string;
	readonly events: readonly RecordedEvent[];
}

/** Collects events of all instances and returns each of them once. */
export class EventMerger {
	readonly #lastSequences = new Map<string, number>();
	#pending: FleetEvent[] = [];

	/** Returns the sequence number of the last event added for an instance; 0 if there was none. */
	lastSequenceOf(instance: string): number {
		return this.#lastSequences.get(instance) ?? 0;
	}

	/** Adds events of one instance; events that were added before are ignored. */
	add({instance, events}: AddEventsOptions): void {
		const newer = events.filter(({sequence}) => sequence > this.lastSequenceOf(instance));
		this.#pending.push(...newer.map(event => ({...event, instance})));
		const newest = newer.at(-1);
		if (newest) {
			this.#lastSequences.set(instance, newest.sequence);
		}
	}

	/** Returns the events added since the last call, ordered by time, instance and sequence number. */
	flush(): readonly FleetEvent[] {
		const events = this.#pending;
		this.#pending = [];
		return events.sort((left, right) => left.atMs - right.atMs || left.instance.localeCompare(right.instance) || left.sequence - right.sequence);
	}
}

/** Renders an event as one line. */
export function formatEvent({atMs, instance, kind, message, fields}: FleetEvent): string {
	const details = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' && value.includes(' ') ? JSON.stringify(value) : String(value)}`);
	return [new Date(atMs).toISOString(), instance, kind, message, ...details].join(' ');
}
