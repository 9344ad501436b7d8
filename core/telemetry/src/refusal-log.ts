/** Logs refusals of what others write, of which there may be any number: one line for each change, and a sum of the rest. */
import type {DecisionLog, LogFields} from './decision-log.js';

/** Maximum number of lines per second. */
const MAX_LINES = 20;
const WINDOW_MS = 1000;
/** Maximum number of subjects whose last refusal is remembered; beyond it, all are forgotten. */
const MAX_SUBJECTS = 1024;
const MAX_CHARACTERS = 300;

/** What was refused, and why. */
export interface RefusalFields extends LogFields {
	readonly subject: string;
	readonly detail: string;
}

/** Options of {@link RefusalLog}. */
export interface RefusalLogOptions {
	readonly log: Pick<DecisionLog, 'line'>;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Writes refusals, bounded in number and length. */
export class RefusalLog {
	readonly #options: RefusalLogOptions;
	/** Last refusal of each subject. */
	readonly #lastDetails = new Map<string, string>();
	#windowStartMs = Number.NEGATIVE_INFINITY;
	#lines = 0;
	#leftOut = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: RefusalLogOptions) {
		this.#options = options;
	}

	/** Writes a line, unless the same was written for its subject or the limit is reached; it is then summed up after a second. */
	line(event: string, {subject, detail, ...fields}: RefusalFields): void {
		const shortSubject = subject.slice(0, MAX_CHARACTERS);
		const shortDetail = detail.slice(0, MAX_CHARACTERS);
		const refusal = `${event} ${shortDetail}`;
		if (this.#lastDetails.get(shortSubject) === refusal || !this.#tryAcquire()) {
			this.#leaveOut();
			return;
		}

		if (this.#lastDetails.size >= MAX_SUBJECTS) {
			this.#lastDetails.clear();
		}

		this.#lastDetails.set(shortSubject, refusal);
		this.#options.log.line(event, {subject: shortSubject, detail: shortDetail, ...fields});
	}

	/** Makes the next refusal of a subject a change, since something of it was accepted meanwhile. */
	accept(subject: string): void {
		this.#lastDetails.delete(subject);
	}

	#tryAcquire(): boolean {
		const nowMs = this.#options.now();
		if (nowMs - this.#windowStartMs >= WINDOW_MS) {
			this.#windowStartMs = nowMs;
			this.#lines = 0;
		}

		this.#lines += 1;
		return this.#lines <= MAX_LINES;
	}

	#leaveOut(): void {
		this.#leftOut += 1;
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			this.#options.log.line('refusals-left-out', {count: this.#leftOut});
			this.#leftOut = 0;
		}, WINDOW_MS).unref();
	}
}
