/** Cancellation of work that mostly needs no signal. */

/**
 * Cancels what waits for it. The signal is made when something first waits, because making one costs more than the
 * placement of a call that need not wait.
 */
export class Cancellation {
	#isCancelled = false;
	#controller: AbortController | undefined;

	/** Whether the work is no longer wanted. */
	get isCancelled(): boolean {
		return this.#isCancelled;
	}

	/** Aborted when the work is cancelled, or already aborted when it was. */
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
