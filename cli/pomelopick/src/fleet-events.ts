/** Merges the event records of all instances in order. */
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

/** Collects events and gives each of them out once. */
export class EventMerger {
	readonly #lastSequences = new Map<string, number>();
	#pending: FleetEvent[] = [];

	/** Sequence of the last event taken from an instance; 0 when there was none. */
	lastSequenceOf(instance: string): number {
		return this.#lastSequences.get(instance) ?? 0;
	}

	/** Takes events of one instance; those taken before are left out. */
	add({instance, events}: AddEventsOptions): void {
		const newer = events.filter(({sequence}) => sequence > this.lastSequenceOf(instance));
		this.#pending.push(...newer.map(event => ({...event, instance})));
		const newest = newer.at(-1);
		if (newest) {
			this.#lastSequences.set(instance, newest.sequence);
		}
	}

	/** Gives out what was taken since: by time, and by sequence within an instance. */
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
