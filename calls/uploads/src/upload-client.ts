/** Asks the owners of shards to reserve bytes for uploads, and releases them. */
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {PeerClient} from '@pomelopick/calls.live';
import type {CodedError, Endpoint} from '@pomelopick/core.types';
import type {UploadOutcome} from '@pomelopick/steering.quotas';
import {
	NOT_OWNER, RELEASED, RELEASES_PATH, RESERVATIONS_PATH,
} from './upload-listeners.js';
import {decodeUploadOutcome} from './upload-messages.js';
import type {UploadRelease, UploadRequest} from './upload-messages.js';

const OK = 200;
const NOT_FOUND = 404;
/** Time within which an owner must answer, in milliseconds; the caller of the upload waits as long. */
const RESERVE_TIMEOUT_MS = 150;
/** Time within which the answer to a release must arrive, in milliseconds; nobody waits for it. */
const RELEASE_TIMEOUT_MS = 1000;

/** HTTP client for reservations. */
export class UploadClient {
	readonly #reservations = new PeerClient();
	/** Kept apart, since a client closes all connections to an instance that gave no response. */
	readonly #releases = new PeerClient();

	/** Asks for a reservation; Left says why there was no answer: `not-owner`, `unsupported` (an older build), or another failure. Never rejects. */
	async reserve({endpoint, request}: {readonly endpoint: Endpoint; readonly request: UploadRequest}): Promise<Either<CodedError, UploadOutcome>> {
		const answered = await this.#reservations.post({
			endpoint, path: RESERVATIONS_PATH, body: JSON.stringify(request), timeoutMs: RESERVE_TIMEOUT_MS,
		});
		return answered
			.mapLeft(({message}): CodedError => ({code: 'not-answered', message}))
			.chain(({status, text}) => status === OK ? decodeUploadOutcome(text) : Left({code: codeOf(status), message: `expected status ${OK}, found ${status}`}));
	}

	/** Ends a reservation; returns why that failed, undefined when it succeeded. Never rejects. */
	async release({endpoint, release}: {readonly endpoint: Endpoint; readonly release: UploadRelease}): Promise<CodedError | undefined> {
		const answered = await this.#releases.post({
			endpoint, path: RELEASES_PATH, body: JSON.stringify(release), timeoutMs: RELEASE_TIMEOUT_MS,
		});
		return answered.caseOf<CodedError | undefined>({
			Left: ({message}) => ({code: 'not-answered', message}),
			Right: ({status}) => status === RELEASED ? undefined : {code: codeOf(status), message: `expected status ${RELEASED}, found ${status}`},
		});
	}

	/** Closes all connections. */
	close(): void {
		this.#reservations.close();
		this.#releases.close();
	}
}

function codeOf(status: number): string {
	if (status === NOT_OWNER) {
		return 'not-owner';
	}

	return status === NOT_FOUND ? 'unsupported' : 'unexpected-status';
}
