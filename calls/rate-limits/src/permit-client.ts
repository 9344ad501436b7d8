/** Asks other instances for permits. */
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {PeerClient} from '@pomelopick/calls.live';
import type {CodedError, Endpoint} from '@pomelopick/core.types';
import {decodePermitAnswer} from './permit-messages.js';
import type {PermitAnswer, PermitRequest} from './permit-messages.js';
import {PERMITS_PATH} from './permit-listener.js';

const OK = 200;

/** Options of {@link PermitClient.ask}. */
export interface AskOptions {
	readonly endpoint: Endpoint;
	readonly message: PermitRequest;
	/** Time within which the answer must arrive, in milliseconds. */
	readonly timeoutMs: number;
}

/** HTTP client for permits. */
export class PermitClient {
	readonly #peers = new PeerClient();

	/** Asks for one permit; Left says why there was no answer. Never rejects. */
	async ask({endpoint, message, timeoutMs}: AskOptions): Promise<Either<CodedError, PermitAnswer>> {
		const answered = await this.#peers.post({
			endpoint, path: PERMITS_PATH, body: JSON.stringify(message), timeoutMs,
		});
		return answered
			.mapLeft(({message: detail}): CodedError => ({code: 'permit-not-answered', message: detail}))
			.chain(({status, text}) => status === OK ? decodePermitAnswer(text) : Left({code: 'permit-refused', message: `expected status ${OK}, found ${status}`}));
	}

	/** Closes all connections. */
	close(): void {
		this.#peers.close();
	}
}
