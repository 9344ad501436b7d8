/** A backend server in simulated time: slots, a queue, and a memory of the objects that it handled last. */
import type {ServerLoad} from '@pomelopick/core.types';
import type {Clock} from './clock.js';
import type {RequestKind} from './request-kind.js';
import type {SpeedPhases} from './speed-phases.js';

/** Options of {@link ModelServer}. */
export interface ModelServerOptions {
	readonly slots: number;
	readonly queue: number;
	readonly remembered: number;
	readonly clock: Clock;
	/** Momentary speed, which the server reports; undefined: it has the usual speed and does not report it. */
	readonly speed?: SpeedPhases | undefined;
}

/** Options of {@link ModelServer.arrive}. */
export interface ArriveOptions {
	readonly kind: RequestKind;
	readonly object: string;
	/** Simulated time by which the work is of use, in milliseconds; it is not begun later. */
	readonly answerByMs: number;
	/** Factor of the work of this request. */
	readonly effort: number;
	readonly onEnd: (end: {readonly kind: 'answered' | 'shed' | 'expired'; readonly load: ServerLoad}) => void;
}

/** One server. */
export class ModelServer {
	readonly #options: ModelServerOptions;
	readonly #waiting: ArriveOptions[] = [];
	readonly #memory = new Set<string>();
	#running = 0;
	#coldRuns = 0;
	#runs = 0;
	#sheds = 0;

	constructor(options: ModelServerOptions) {
		this.#options = options;
	}

	/** Requests that were run, those of them whose object was not in memory, and requests that were shed. */
	get counts(): {readonly runs: number; readonly coldRuns: number; readonly sheds: number} {
		return {runs: this.#runs, coldRuns: this.#coldRuns, sheds: this.#sheds};
	}

	/** Requests that are running or waiting. */
	get inFlight(): number {
		return this.#running + this.#waiting.length;
	}

	/** Takes a request, or sheds it when the queue is full. */
	arrive(request: ArriveOptions): void {
		const {slots, queue} = this.#options;
		if (this.#running < slots) {
			this.#start(request);
		} else if (this.#waiting.length < queue) {
			this.#waiting.push(request);
		} else {
			this.#sheds += 1;
			request.onEnd({kind: 'shed', load: this.#load});
		}
	}

	get #load(): ServerLoad {
		const {slots, speed, clock} = this.#options;
		return {
			running: this.#running, waiting: this.#waiting.length, slots, ...(speed && {workFactor: speed.factorAt(clock.nowMs)}),
		};
	}

	#start(request: ArriveOptions): void {
		const {clock, speed} = this.#options;
		this.#running += 1;
		const workMs = this.#workMs(request) * request.effort * (speed?.factorAt(clock.nowMs) ?? 1);
		clock.after(workMs, () => {
			const load = this.#load;
			this.#running -= 1;
			this.#startNext();
			request.onEnd({kind: 'answered', load});
		});
	}

	#startNext(): void {
		for (let next = this.#waiting.shift(); next; next = this.#waiting.shift()) {
			if (this.#options.clock.nowMs < next.answerByMs) {
				this.#start(next);
				return;
			}

			next.onEnd({kind: 'expired', load: this.#load});
		}
	}

	#workMs({kind, object}: ArriveOptions): number {
		const pair = `${kind.name}\0${object}`;
		const isWarm = this.#memory.delete(pair);
		this.#memory.add(pair);
		if (this.#memory.size > this.#options.remembered) {
			const [oldest] = this.#memory;
			this.#memory.delete(oldest!);
		}

		this.#runs += 1;
		this.#coldRuns += Number(!isWarm);
		return isWarm ? kind.warmMs : kind.coldMs;
	}
}
