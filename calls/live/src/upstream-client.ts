/** Asks the upstream for changes, over one connection that is kept while the upstream stays the same. */
import {Client} from 'undici';
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {originOf} from '@pomelopick/core.types';
import type {CodedError, Endpoint} from '@pomelopick/core.types';
import {sendCall} from '@pomelopick/platform.store';
import {changesPath} from './change-listener.js';
import {decodeUpstreamAnswer} from './relayed-changes.js';
import type {UpstreamAnswer} from './relayed-changes.js';

/** Time in which a connection must be made, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Options of {@link UpstreamClient.ask}. */
export interface UpstreamRequestOptions {
	readonly endpoint: Endpoint;
	/** Index up to which this instance knows all changes. */
	readonly afterIndex: number;
	/** Time in which the answer must have come, in milliseconds. */
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
}

/** Asks upstreams. */
export class UpstreamClient {
	#current: {readonly origin: string; readonly client: Client} | undefined;

	/** Asks one question; Left says why no answer came. Never rejects. */
	async ask({endpoint, afterIndex, timeoutMs, signal}: UpstreamRequestOptions): Promise<Either<CodedError, UpstreamAnswer>> {
		const client = this.#clientFor(originOf(endpoint));
		try {
			const {status, text} = await sendCall({
				dispatcher: client, method: 'GET', path: changesPath({afterIndex}), body: undefined, timeoutMs, signal,
			});
			return status === 200 ? decodeUpstreamAnswer(text) : Left({code: 'upstream-refused', message: `it answered ${status}`});
		} catch (error) {
			// A connection without an answer is not trusted again.
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
			this.#current = {origin, client: new Client(origin, {connect: {timeout: CONNECT_TIMEOUT_MS}})};
		}

		return this.#current.client;
	}
}
