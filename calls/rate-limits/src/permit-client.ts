/** Asks other instances for permits, over connections that are kept for a few seconds. */
import {Pool} from 'undici';
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {originOf} from '@pomelopick/core.types';
import type {CodedError, Endpoint} from '@pomelopick/core.types';
import {sendCall} from '@pomelopick/platform.store';
import {decodePermitAnswer} from './permit-messages.js';
import type {PermitAnswer, PermitRequest} from './permit-messages.js';
import {PERMITS_PATH} from './permit-listener.js';

const CONNECT_TIMEOUT_MS = 200;
const KEEP_ALIVE_MS = 4000;
const CONNECTIONS_PER_INSTANCE = 2;
/** Maximum number of instances to which connections are kept; beyond it, those of the instance asked first are closed. */
const MAX_INSTANCES = 64;

/** Options of {@link PermitClient.ask}. */
export interface AskOptions {
	readonly endpoint: Endpoint;
	readonly message: PermitRequest;
	/** Time within which the answer must arrive, in milliseconds. */
	readonly timeoutMs: number;
}

/** HTTP client for permits. */
export class PermitClient {
	readonly #pools = new Map<string, Pool>();

	/** Asks for one permit; Left says why there was no answer. Never rejects. */
	async ask({endpoint, message, timeoutMs}: AskOptions): Promise<Either<CodedError, PermitAnswer>> {
		const origin = originOf(endpoint);
		try {
			const {status, text} = await sendCall({
				dispatcher: this.#poolFor(origin), method: 'POST', path: PERMITS_PATH, body: JSON.stringify(message), timeoutMs,
			});
			return status === 200 ? decodePermitAnswer(text) : Left({code: 'permit-refused', message: `expected status 200, found ${status}`});
		} catch (error) {
			// A connection that gave no answer is not used again.
			this.#close(origin);
			return Left({code: 'permit-not-answered', message: (error as Error).message});
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const origin of this.#pools.keys()) {
			this.#close(origin);
		}
	}

	#poolFor(origin: string): Pool {
		let pool = this.#pools.get(origin);
		if (!pool) {
			if (this.#pools.size >= MAX_INSTANCES) {
				this.#close(this.#pools.keys().next().value!);
			}

			pool = new Pool(origin, {connections: CONNECTIONS_PER_INSTANCE, keepAliveTimeout: KEEP_ALIVE_MS, connect: {timeout: CONNECT_TIMEOUT_MS}});
			this.#pools.set(origin, pool);
		}

		return pool;
	}

	#close(origin: string): void {
		const pool = this.#pools.get(origin);
		this.#pools.delete(origin);
		void pool?.destroy();
	}
}
