/** Requests changes from the upstream, over one connection that is kept while the upstream stays the same. */
import type {Client} from 'undici';
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {createClient, sendCall} from '@pomelopick/core.http';
import {originOf} from '@pomelopick/core.types';
import type {CodedError, Endpoint} from '@pomelopick/core.types';
import {splitIndex} from '@pomelopick/platform.store';
import {changesPath} from './change-listener.js';
import {decodeUpstreamAnswer} from './relayed-changes.js';
import type {UpstreamAnswer} from './relayed-changes.js';

/** Timeout for establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Options of {@link UpstreamClient.requestChanges}. */
export interface UpstreamRequestOptions {
	readonly endpoint: Endpoint;
	/** Index up to which this instance has all changes. */
	readonly afterIndex: number;
	/** Whether the answer must state the era of its indexes; those of older builds do not. */
	readonly mustStateEra: boolean;
	/** Time within which the answer must arrive, in milliseconds. */
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
}

/** HTTP client for upstreams. */
export class UpstreamClient {
	#current: {readonly origin: string; readonly client: Client} | undefined;

	/** Sends one request; Left says why there was no answer. Never rejects. */
	async requestChanges({endpoint, afterIndex, mustStateEra, timeoutMs, signal}: UpstreamRequestOptions): Promise<Either<CodedError, UpstreamAnswer>> {
		try {
			const client = this.#clientFor(originOf(endpoint));
			const {status, text} = await sendCall({
				dispatcher: client, method: 'GET', path: changesPath({afterIndex}), body: undefined, timeoutMs, signal,
			});
			return status === 200 ? decodeUpstreamAnswer({text, defaultEra: mustStateEra ? undefined : splitIndex(afterIndex).era}) : Left({code: 'upstream-refused', message: `expected status 200, found ${status}`});
		} catch (error) {
			// A connection that gave no answer is not used again.
			this.close();
			return Left({code: 'upstream-silent', message: (error as Error).message});
		}
	}

	/** Closes the connection. */
	close(): void {
		void this.#current?.client.destroy();
		this.#current = undefined;
	}

	#clientFor(origin: string): Client {
		if (this.#current?.origin !== origin) {
			this.close();
			this.#current = {origin, client: createClient(origin, {connectTimeoutMs: CONNECT_TIMEOUT_MS})};
		}

		return this.#current.client;
	}
}
