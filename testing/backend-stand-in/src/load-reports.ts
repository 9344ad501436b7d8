/** History of the load of a backend server, for load reports that lag. */
import {performance} from 'node:perf_hooks';

/** Load of a server, and whether it is draining. */
export interface LoadReport {
	readonly inFlight: number;
	readonly draining: boolean;
}

/** Options of {@link LoadReports.add}. */
export interface AddReportOptions extends LoadReport {
	/** Lag of the reports, in milliseconds. Reports that are no longer needed for this lag are removed. */
	readonly lagMs: number;
}

/** Reports with the time at which each was recorded. */
export class LoadReports {
	readonly #reports: Array<LoadReport & {readonly atMs: number}> = [];

	/** Records the current load. */
	add({inFlight, draining, lagMs}: AddReportOptions): void {
		const atMs = performance.now();
		this.#reports.push({atMs, inFlight, draining});
		while (this.#reports.length > 2 && this.#reports[1]!.atMs < atMs - lagMs) {
			this.#reports.shift();
		}
	}

	/** Returns the report of `lagMs` milliseconds ago, or undefined if there was none yet. */
	read({lagMs}: {readonly lagMs: number}): LoadReport | undefined {
		const atMs = performance.now() - lagMs;
		return this.#reports.findLast(report => report.atMs <= atMs);
	}
}
