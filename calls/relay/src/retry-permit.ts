/** Leave to send one request to further backend servers. */

/** Leave for one send; one of its methods is called once. */
export interface RetryPermit {
	/** The send was made and has ended: it cannot reach the server any more. */
	readonly end: () => void;
	/** The send was not made. */
	readonly giveBack: () => void;
}

/** Options of {@link RequestPermits.settle}. */
export interface SettlePermitOptions {
	readonly permit: RetryPermit;
	/** Whether a byte of the request may have reached the server. */
	readonly wasSent: boolean;
}

/** Permits of one request: one that did not lead to a send serves for the next send. */
export class RequestPermits {
	readonly #unused: RetryPermit[] = [];
	#isClosed = false;

	/** Whether a permit is left for the next send. */
	get hasUnused(): boolean {
		return this.#unused.length > 0;
	}

	/** Adds a permit for the next send. */
	add(permit: RetryPermit): void {
		this.#unused.push(permit);
	}

	/** Takes the permit of the next send; undefined for the first one, which needs none. */
	use(): RetryPermit | undefined {
		return this.#unused.pop();
	}

	/** Notes the end of an attempt. */
	settle({permit, wasSent}: SettlePermitOptions): void {
		if (wasSent) {
			permit.end();
		} else if (this.#isClosed) {
			permit.giveBack();
		} else {
			this.#unused.push(permit);
		}
	}

	/** Gives back what was not used, now and by attempts that have not ended yet. */
	close(): void {
		this.#isClosed = true;
		for (const permit of this.#unused.splice(0)) {
			permit.giveBack();
		}
	}
}
