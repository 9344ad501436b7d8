/** Asks the owners of shards for permits. */
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {PeerClient} from '@pomelopick/calls.live';
import type {CodedError, Endpoint} from '@pomelopick/core.types';
import {NOT_OWNER, QUOTA_PATH} from './quota-listener.js';
import {decodeQuotaAnswer} from './quota-messages.js';
import type {QuotaAnswer, QuotaRequest} from './quota-messages.js';

const OK = 200;
const NOT_FOUND = 404;

/** Options of {@link QuotaClient.ask}. */
export interface AskQuotaOptions {
	readonly endpoint: Endpoint;
	readonly request: QuotaRequest;
	/** Time within which the answer must arrive, in milliseconds. */
	readonly timeoutMs: number;
}

/** HTTP client for permits. */
export class QuotaClient {
	readonly #peers = new PeerClient();

	/** Asks for permits; Left says why there was no answer: `quota-not-owner`, `quota-unsupported` (an older build), or another failure. Never rejects. */
	async ask({endpoint, request, timeoutMs}: AskQuotaOptions): Promise<Either<CodedError, QuotaAnswer>> {
		const answered = await this.#peers.post({
			endpoint, path: QUOTA_PATH, body: JSON.stringify(request), timeoutMs,
		});
		return answered
			.mapLeft(({message}): CodedError => ({code: 'quota-not-answered', message}))
			.chain(({status, text}) => status === OK ? decodeQuotaAnswer({text, request}) : Left({code: codeOf(status), message: `expected status ${OK}, found ${status}`}));
	}

	/** Closes all connections. */
	close(): void {
		this.#peers.close();
	}
}

function codeOf(status: number): string {
	if (status === NOT_OWNER) {
		return 'quota-not-owner';
	}

	return status === NOT_FOUND ? 'quota-unsupported' : 'quota-refused';
}
