/** Permits to send a request to another backend server after the first. */

/** Permit for one send. Exactly one of its methods must be called, once. */
export interface RetryPermit {
	/** Records that the request was sent and the attempt has ended, so that no byte of it can reach the server any more. */
	readonly end: () => void;
	/** Returns the permit unused: nothing was sent. */
	readonly giveBack: () => void;
}

/** Options of {@link RequestPermits.settle}. */
export interface SettlePermitOptions {
	readonly permit: RetryPermit;
	/** Whether a byte of the request may have reached the server. */
	readonly wasSent: boolean;
}

/** Permits of one request. A permit that did not lead to a send is reused for the next send. */
export class RequestPermits {
	readonly #unused: RetryPermit[] = [];
	#isClosed = false;

	/** Whether there is an unused permit for the next send. */
	get hasUnused(): boolean {
		return this.#unused.length > 0;
	}

	/** Adds a permit for the next send. */
	add(permit: RetryPermit): void {
		this.#unused.push(permit);
	}

	/** Takes the permit for the next send; undefined for the first send, which needs none. */
	use(): RetryPermit | undefined {
		return this.#unused.pop();
	}

	/** Records the end of an attempt that used a permit. */
	settle({permit, wasSent}: SettlePermitOptions): void {
		if (wasSent) {
			permit.end();
		} else if (this.#isClosed) {
			permit.giveBack();
		} else {
			this.#unused.push(permit);
		}
	}

	/** Returns unused permits: those of now, and later those of attempts that have not ended yet. */
	close(): void {
		this.#isClosed = true;
		for (const permit of this.#unused.splice(0)) {
			permit.giveBack();
		}
	}
}
