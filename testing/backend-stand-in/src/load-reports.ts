/** Load reports of a backend server that lag behind what it does. */
import {performance} from 'node:perf_hooks';

/** What a server says of itself. */
export interface LoadReport {
	readonly inFlight: number;
	readonly draining: boolean;
}

/** Options of {@link LoadReports.note}. */
export interface NoteReportOptions extends LoadReport {
	/** Lag of the reports, in milliseconds; what is older is forgotten. */
	readonly lagMs: number;
}

/** Reports with the time at which they held. */
export class LoadReports {
	readonly #reports: Array<LoadReport & {readonly atMs: number}> = [];

	/** Notes what holds now. */
	note({inFlight, draining, lagMs}: NoteReportOptions): void {
		const atMs = performance.now();
		this.#reports.push({atMs, inFlight, draining});
		while (this.#reports.length > 2 && this.#reports[1]!.atMs < atMs - lagMs) {
			this.#reports.shift();
		}
	}

	/** What held `lagMs` ago; undefined before the first report. */
	read({lagMs}: {readonly lagMs: number}): LoadReport | undefined {
		const atMs = performance.now() - lagMs;
		return this.#reports.findLast(report => report.atMs <= atMs);
	}
}
