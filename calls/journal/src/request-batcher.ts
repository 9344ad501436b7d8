/** Gathers requests to one receiver and sends them together. */

const MOST_REQUESTS = 256;

/** Options of {@link RequestBatcher}. */
export interface RequestBatcherOptions<Request, Answer> {
	/** Sends requests and answers in their order; undefined when there was no answer. */
	readonly send: (requests: readonly Request[]) => Promise<readonly Answer[] | undefined>;
	/** Time in which the first request of a batch waits for others, in milliseconds. */
	readonly gatherMs: number;
	/** Batches that may be on their way; what arrives meanwhile waits, so that a slow receiver gets fewer, larger ones. */
	readonly mostInFlight: number;
}

/** Options of {@link RequestBatcher.add}. */
export interface AddRequestOptions<Request> {
	readonly request: Request;
	/** Aborted when nobody waits for the answer any more; a request that was not sent yet is then dropped. */
	readonly signal?: AbortSignal;
}

interface Entry<Request, Answer> extends AddRequestOptions<Request> {
	readonly resolve: (answer: Answer | undefined) => void;
}

/** Batches requests to one receiver. */
export class RequestBatcher<Request, Answer> {
	readonly #options: RequestBatcherOptions<Request, Answer>;
	#gathered: Array<Entry<Request, Answer>> = [];
	#inFlight = 0;
	#isTimed = false;

	constructor(options: RequestBatcherOptions<Request, Answer>) {
		this.#options = options;
	}

	/** Sends a request with others; undefined when there was no answer. */
	async add({request, signal}: AddRequestOptions<Request>): Promise<Answer | undefined> {
		return new Promise(resolve => {
			this.#gathered.push({request, signal, resolve});
			this.#sendSoon();
		});
	}

	#sendSoon(): void {
		if (this.#isTimed || this.#inFlight >= this.#options.mostInFlight || this.#gathered.length === 0) {
			return;
		}

		this.#isTimed = true;
		setTimeout(() => {
			this.#isTimed = false;
			void this.#send();
		}, this.#options.gatherMs);
	}

	async #send(): Promise<void> {
		const batch = this.#takeBatch();
		if (batch.length === 0) {
			return;
		}

		this.#inFlight += 1;
		this.#sendSoon();
		const answers = await this.#options.send(batch.map(({request}) => request));
		this.#inFlight -= 1;
		for (const [index, {resolve}] of batch.entries()) {
			resolve(answers?.[index]);
		}

		this.#sendSoon();
	}

	#takeBatch(): ReadonlyArray<Entry<Request, Answer>> {
		const wanted = this.#gathered.filter(({signal}) => !signal?.aborted);
		for (const {signal, resolve} of this.#gathered) {
			if (signal?.aborted) {
				resolve(undefined);
			}
		}

		this.#gathered = wanted.slice(MOST_REQUESTS);
		return wanted.slice(0, MOST_REQUESTS);
	}
}
