/** Cancellation of work that seldom needs an abort signal. */

/**
 * Cancels the work that listens to its signal. The signal is created on first use, because creating one costs more
 * than placing a call that does not wait for a slot.
 */
export class Cancellation {
	#isCancelled = false;
	#controller: AbortController | undefined;

	/** Whether the work is no longer wanted. */
	get isCancelled(): boolean {
		return this.#isCancelled;
	}

	/** Signal that is aborted when the work is cancelled; already aborted if it was cancelled before. */
	get signal(): AbortSignal {
		if (!this.#controller) {
			this.#controller = new AbortController();
			if (this.#isCancelled) {
				this.#controller.abort();
			}
		}

		return this.#controller.signal;
	}

	/** Cancels the work; further calls do nothing. */
	cancel(): void {
		this.#isCancelled = true;
		this.#controller?.abort();
	}
}
