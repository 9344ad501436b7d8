/** HTTP client for the listeners of other instances, over connections that are kept for a few seconds. */
import type {Pool} from 'undici';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {createPool, sendCall} from '@pomelopick/core.http';
import {originOf} from '@pomelopick/core.types';
import type {CodedError, Endpoint} from '@pomelopick/core.types';

const CONNECT_TIMEOUT_MS = 200;
const KEEP_ALIVE_MS = 4000;
const CONNECTIONS_PER_INSTANCE = 2;
/** Maximum number of instances to which connections are kept; beyond it, those of the instance called first are closed. */
const MAX_INSTANCES = 64;

/** Options of {@link PeerClient.post}. */
export interface PostOptions {
	readonly endpoint: Endpoint;
	readonly path: string;
	/** JSON text. */
	readonly body: string;
	/** Time within which the response must arrive, in milliseconds. */
	readonly timeoutMs: number;
}

/** Response of another instance. */
export interface PeerResponse {
	readonly status: number;
	readonly text: string;
}

/** HTTP client for the listeners of other instances. */
export class PeerClient {
	readonly #pools = new Map<string, Pool>();

	/** Sends a message; Left says why there was no response. Never rejects. */
	async post({endpoint, path, body, timeoutMs}: PostOptions): Promise<Either<CodedError, PeerResponse>> {
		const origin = originOf(endpoint);
		try {
			const {status, text} = await sendCall({
				dispatcher: this.#poolFor(origin), method: 'POST', path, body, timeoutMs,
			});
			return Right({status, text});
		} catch (error) {
			// A connection that gave no response is not used again.
			this.#close(origin);
			return Left({code: 'instance-not-answering', message: (error as Error).message});
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

			pool = createPool(origin, {connections: CONNECTIONS_PER_INSTANCE, keepAliveTimeoutMs: KEEP_ALIVE_MS, connectTimeoutMs: CONNECT_TIMEOUT_MS});
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
