/** Gathers requests to one receiver for a short while and sends them together. */

const GATHER_MS = 3;
const MOST_REQUESTS = 256;

/** Options of {@link RequestBatcher}. */
export interface RequestBatcherOptions<Request, Answer> {
	/** Sends requests and answers in their order; undefined when there was no answer. */
	readonly send: (requests: readonly Request[]) => Promise<readonly Answer[] | undefined>;
}

interface Entry<Request, Answer> {
	readonly request: Request;
	readonly resolve: (answer: Answer | undefined) => void;
}

/** Batches requests to one receiver. */
export class RequestBatcher<Request, Answer> {
	readonly #options: RequestBatcherOptions<Request, Answer>;
	#gathered: Array<Entry<Request, Answer>> = [];

	constructor(options: RequestBatcherOptions<Request, Answer>) {
		this.#options = options;
	}

	/** Sends a request with others; undefined when there was no answer. */
	async add(request: Request): Promise<Answer | undefined> {
		return new Promise(resolve => {
			this.#gathered.push({request, resolve});
			if (this.#gathered.length === 1) {
				setTimeout(() => {
					void this.#flush();
				}, GATHER_MS);
			} else if (this.#gathered.length >= MOST_REQUESTS) {
				void this.#flush();
			}
		});
	}

	async #flush(): Promise<void> {
		const batch = this.#gathered;
		this.#gathered = [];
		if (batch.length === 0) {
			return;
		}

		const answers = await this.#options.send(batch.map(({request}) => request));
		for (const [index, {resolve}] of batch.entries()) {
			resolve(answers?.[index]);
		}
	}
}
