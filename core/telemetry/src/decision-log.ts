/**
 * The structured log of decisions: one JSON object per line.
 *
 * The number of lines about requests in each second is limited, separately for answered and for failed requests, so that
 * the volume of the log does not grow with the load. Omitted lines are counted, and the counts are logged in a line of
 * their own.
 */

/** Outcome of a request, which decides the limit for its line. */
export type RequestOutcome = 'answered' | 'failed';

/** Maximum number of lines about requests per second; higher for failed requests, as these are more likely to be investigated. */
const maxRequestLinesPerSecond: Readonly<Record<RequestOutcome, number>> = {answered: 100, failed: 200};
const SECOND_MS = 1000;

/** A value in a line; a list has one element for each occurrence, in order. */
export type LogValue = string | number | boolean | ReadonlyArray<Readonly<Record<string, unknown>>> | undefined;

/** Fields of one line by name; the same names are used in all lines. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Options of {@link DecisionLog}. */
export interface DecisionLogOptions {
	/** Writes a line without blocking; returns false when it was dropped. */
	readonly write: (line: string) => boolean;
	/** Fields of every line. */
	readonly common: LogFields;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly wallClock: () => number;
}

/** Writes the log. */
export class DecisionLog {
	readonly #options: DecisionLogOptions;
	#secondStartMs = Number.NEGATIVE_INFINITY;
	#requestLines: Record<RequestOutcome, number> = {answered: 0, failed: 0};
	#omittedLines: Record<RequestOutcome, number> = {answered: 0, failed: 0};
	#dropped = 0;

	constructor(options: DecisionLogOptions) {
		this.#options = options;
	}

	/** Number of lines that were dropped because standard output was not read. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Writes a line about an action or a change of the view of this instance. */
	line(event: string, fields: LogFields): void {
		this.#write(event, fields);
	}

	/** Writes a line about a request, unless the limit for this outcome is reached in the current second. */
	request(outcome: RequestOutcome, fields: LogFields): void {
		this.#startSecondIfDue();
		if (this.#requestLines[outcome] >= maxRequestLinesPerSecond[outcome]) {
			this.#omittedLines[outcome] += 1;
			return;
		}

		this.#requestLines[outcome] += 1;
		this.#write('request', fields);
	}

	/** Resets the counts when a second has passed, and logs the number of omitted lines. */
	#startSecondIfDue(): void {
		const nowMs = this.#options.wallClock();
		if (Math.abs(nowMs - this.#secondStartMs) < SECOND_MS) {
			return;
		}

		this.#secondStartMs = nowMs;
		this.#requestLines = {answered: 0, failed: 0};
		const {answered, failed} = this.#omittedLines;
		if (answered + failed > 0) {
			this.#write('request-lines-left-out', {answered, failed});
			this.#omittedLines = {answered: 0, failed: 0};
		}
	}

	#write(event: string, fields: LogFields): void {
		const {write, common, wallClock} = this.#options;
		const isWritten = write(`${JSON.stringify({
			time: new Date(wallClock()).toISOString(), event, ...common, ...fields,
		})}\n`);
		this.#dropped += Number(!isWritten);
	}
}
