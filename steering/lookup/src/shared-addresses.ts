/** Finds addresses that several callers share, for example behind network address translation. */

/** Time for which an address counts as shared after the last early repetition of a question, in milliseconds; many times longer than callers keep an answer. */
const SHARED_FOR_MS = 60_000;
/** Share of the time for which an answer is valid within which one caller does not ask again. */
const REPEAT_SHARE = 0.5;
/** Maximum number of addresses that are remembered. */
const MAX_ADDRESSES = 10_000;

interface AskingAddress {
	askedAtMs: number;
	sharedUntilMs: number;
}

/** Options of {@link SharedAddresses.callerKey}. */
export interface CallerKeyOptions {
	readonly address: string;
	/** Port from which the caller's connection comes. */
	readonly port: number;
	/** What the caller asks for; a caller asks for each separately. */
	readonly question: string;
	/** Time for which callers keep an answer, in milliseconds. */
	readonly timeToLiveMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Addresses from which callers asked recently. */
export class SharedAddresses {
	readonly #asking = new Map<string, AskingAddress>();

	/**
	 * Returns what tells a caller from others: its address, or its address and port if several callers share the address.
	 * One caller keeps an answer while it is valid; an address from which the same question comes again sooner is shared.
	 */
	callerKey({address, port, question, timeToLiveMs, nowMs}: CallerKeyOptions): string {
		const key = `${address} ${question}`;
		const known = this.#asking.get(key);
		const isRepeated = known !== undefined && nowMs - known.askedAtMs < timeToLiveMs * REPEAT_SHARE;
		const sharedUntilMs = isRepeated ? nowMs + SHARED_FOR_MS : known?.sharedUntilMs ?? 0;
		// The oldest address is the first of the map.
		this.#asking.delete(key);
		this.#asking.set(key, {askedAtMs: nowMs, sharedUntilMs});
		if (this.#asking.size > MAX_ADDRESSES) {
			this.#asking.delete(this.#asking.keys().next().value!);
		}

		return sharedUntilMs > nowMs ? `${address}:${port}` : address;
	}
}
