/** Collects requests to one receiver and sends them in batches. */

const MAX_REQUESTS_PER_BATCH = 256;

/** Options of {@link RequestBatcher}. */
export interface RequestBatcherOptions<Request, Response> {
	/** Sends requests; resolves with their responses in the same order, or undefined when there was no response. */
	readonly send: (requests: readonly Request[]) => Promise<readonly Response[] | undefined>;
	/** Time for which the first request of a batch waits for others, in milliseconds. */
	readonly batchDelayMs: number;
	/** Maximum batches in flight. Further requests wait, so that a slow receiver gets fewer and larger batches. */
	readonly maxBatchesInFlight: number;
}

/** Options of {@link RequestBatcher.add}. */
export interface AddRequestOptions<Request> {
	readonly request: Request;
	/** Aborted when nobody waits for the response any more; a request that was not sent yet is then dropped. */
	readonly signal?: AbortSignal;
}

interface QueuedRequest<Request, Response> extends AddRequestOptions<Request> {
	readonly resolve: (response: Response | undefined) => void;
}

/** Batches requests to one receiver. */
export class RequestBatcher<Request, Response> {
	readonly #options: RequestBatcherOptions<Request, Response>;
	#queue: Array<QueuedRequest<Request, Response>> = [];
	#inFlight = 0;
	#isScheduled = false;

	constructor(options: RequestBatcherOptions<Request, Response>) {
		this.#options = options;
	}

	/** Sends a request as part of a batch; resolves with undefined when there was no response. */
	async add({request, signal}: AddRequestOptions<Request>): Promise<Response | undefined> {
		return new Promise(resolve => {
			this.#queue.push({request, signal, resolve});
			this.#scheduleSend();
		});
	}

	#scheduleSend(): void {
		if (this.#isScheduled || this.#inFlight >= this.#options.maxBatchesInFlight || this.#queue.length === 0) {
			return;
		}

		this.#isScheduled = true;
		setTimeout(() => {
			this.#isScheduled = false;
			void this.#sendBatch();
		}, this.#options.batchDelayMs);
	}

	async #sendBatch(): Promise<void> {
		const batch = this.#takeBatch();
		if (batch.length === 0) {
			return;
		}

		this.#inFlight += 1;
		this.#scheduleSend();
		const responses = await this.#options.send(batch.map(({request}) => request));
		this.#inFlight -= 1;
		for (const [index, {resolve}] of batch.entries()) {
			resolve(responses?.[index]);
		}

		this.#scheduleSend();
	}

	#takeBatch(): ReadonlyArray<QueuedRequest<Request, Response>> {
		const wanted = this.#queue.filter(({signal}) => !signal?.aborted);
		for (const {signal, resolve} of this.#queue) {
			if (signal?.aborted) {
				resolve(undefined);
			}
		}

		this.#queue = wanted.slice(MAX_REQUESTS_PER_BATCH);
		return wanted.slice(0, MAX_REQUESTS_PER_BATCH);
	}
}
