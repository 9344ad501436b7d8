/** Counters and latency histograms in the text format of Prometheus. */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {HedgeReason, RefusalReason, RetryReason} from '@pomelopick/core.types';
import type {CallCounters} from './counters.js';

/** Upper bounds of the histogram's buckets, in seconds. */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 4, 6, 8, 12];
const MILLISECONDS_PER_SECOND = 1000;

/** Counters for a metrics listener. */
export class ServedCounters implements CallCounters {
	readonly #registry = new Registry();
	readonly #refusals = this.#counter({name: 'pomelopick_refusals_total', help: 'Requests that got no backend server\'s answer, by reason.', label: 'reason'});
	readonly #retries = this.#counter({name: 'pomelopick_retries_total', help: 'Requests sent to a further backend server, by reason.', label: 'reason'});
	readonly #hedges = this.#counter({name: 'pomelopick_hedges_total', help: 'Second attempts beside a running one, by reason.', label: 'reason'});
	readonly #events = this.#counter({name: 'pomelopick_events_total', help: 'Other events, by name.', label: 'event'});
	readonly #durations = new Histogram({
		name: 'pomelopick_duration_seconds', help: 'Durations, by what was timed.', labelNames: ['what'], buckets: LATENCY_BUCKETS, registers: [this.#registry],
	});

	/** Media type of {@link text}. */
	get contentType(): string {
		return this.#registry.contentType;
	}

	/** Adds one to the counter of a refusal reason. */
	refused(reason: RefusalReason): void {
		this.#refusals.inc({reason});
	}

	/** Adds one to the counter of a retry reason. */
	retried(reason: RetryReason): void {
		this.#retries.inc({reason});
	}

	/** Adds one to the counter of a hedge reason. */
	hedged(reason: HedgeReason): void {
		this.#hedges.inc({reason});
	}

	/** Adds to a named counter. */
	add(name: string, count = 1): void {
		this.#events.inc({event: name}, count);
	}

	/** Records a duration, in milliseconds. */
	timing(name: string, durationMs: number): void {
		this.#durations.observe({what: name}, durationMs / MILLISECONDS_PER_SECOND);
	}

	/** Adds a gauge whose value is read at each collection of the metrics. */
	gauge({name, help, read}: {readonly name: string; readonly help: string; readonly read: () => number}): void {
		const gauge: Gauge = new Gauge({
			name: `pomelopick_${name}`, help, registers: [this.#registry], collect() {
				gauge.set(read());
			},
		});
	}

	/** Adds a gauge with one value per label, read at each collection of the metrics. */
	gauges({name, help, label, read}: {readonly name: string; readonly help: string; readonly label: string; readonly read: () => ReadonlyMap<string, number>}): void {
		const gauge: Gauge = new Gauge({
			name: `pomelopick_${name}`, help, labelNames: [label], registers: [this.#registry], collect() {
				gauge.reset();
				for (const [value, number] of read()) {
					gauge.set({[label]: value}, number);
				}
			},
		});
	}

	/** All metrics in the text format. */
	async text(): Promise<string> {
		return this.#registry.metrics();
	}

	#counter<Label extends string>({name, help, label}: {readonly name: string; readonly help: string; readonly label: Label}): Counter<Label> {
		return new Counter({
			name, help, labelNames: [label], registers: [this.#registry],
		});
	}
}
