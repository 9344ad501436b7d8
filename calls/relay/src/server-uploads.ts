/** Sends uploads to backend servers once their bytes are reserved, since a server holds them in its memory while they arrive. */
import type {ReservedUpload, ReserveOptions, UploadRefusal} from '@pomelopick/calls.uploads';
import type {BackendServerName} from '@pomelopick/core.types';
import type {PlacementRefusal} from '@pomelopick/steering.objects';
import type {AttemptFailureResult, AttemptResult, RunnableAttempt} from './attempt-result.js';
import type {RelayedRequest} from './relayed-request.js';

/** Time after which a caller is asked to retry its upload if no owner of a shard answered, in milliseconds. */
const RETRY_AFTER_MS = 1000;

/** Options of {@link ServerUploads}. */
export interface ServerUploadsOptions {
	/** Reserves the bytes of an upload for the whole fleet. Never rejects. */
	readonly reserve: (options: ReserveOptions) => ReservedUpload | Promise<ReservedUpload>;
	/** Maximum size of a body, in bytes. */
	readonly maxBodyBytes: () => number;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link ServerUploads.send}. */
export interface SendUploadOptions {
	readonly request: RelayedRequest;
	readonly server: BackendServerName;
	readonly attempt: Pick<RunnableAttempt, 'abort'>;
	/** Sends the request. Never rejects. */
	readonly send: () => Promise<AttemptResult>;
}

/** Refusal of an upload for which no server is left besides those that refused it. */
export function refusalOfUploads(refusals: readonly UploadRefusal[]): PlacementRefusal {
	const retriesMs = refusals.flatMap(({retryAfterMs}) => retryAfterMs ?? []);
	const unreachable = refusals.filter(({reason}) => reason === 'owner-unreachable').length;
	return {
		reason: 'instance-full',
		detail: `no usable backend server has room for the upload; ${refusals.length} refused it, of which ${unreachable} as no owner of their shard answered`,
		retryAfterMs: retriesMs.length > 0 ? Math.min(...retriesMs) : RETRY_AFTER_MS,
	};
}

/** The uploads that this instance is sending. */
export class ServerUploads {
	readonly #options: ServerUploadsOptions;
	readonly #sending = new Set<Pick<RunnableAttempt, 'abort'>>();
	/** Number of suspensions of the process so far. */
	#suspensions = 0;

	constructor(options: ServerUploadsOptions) {
		this.#options = options;
	}

	/** Number of uploads that are being sent. */
	get count(): number {
		return this.#sending.size;
	}

	/** Sends an upload to a server while its bytes are reserved; fails without sending it if they are not. */
	async send({request, server, attempt, send}: SendUploadOptions): Promise<AttemptResult> {
		const {reserve, now} = this.#options;
		const suspensions = this.#suspensions;
		const reserving = reserve({server, bytes: this.#sizeOf(request), validMs: request.options.answerByMs - now()});
		const reserved = reserving instanceof Promise ? await reserving : reserving;
		if (reserved.isLeft()) {
			const refusal = reserved.extract();
			request.uploadRefusals.push(refusal);
			return unsentUpload(refusal.detail);
		}

		const reservation = reserved.unsafeCoerce();
		if (request.hasEnded || this.#suspensions !== suspensions) {
			reservation.end();
			return unsentUpload('the request ended, or the process was suspended, before the upload was sent');
		}

		this.#sending.add(attempt);
		const result = await send();
		this.#sending.delete(attempt);
		reservation.end();
		return result;
	}

	/** Aborts all uploads after a suspension of the process, as their reservations may have ended meanwhile. */
	recordSuspension(): void {
		this.#suspensions += 1;
		for (const attempt of this.#sending) {
			attempt.abort({kind: 'timed-out', detail: 'the process was suspended while it sent the upload, whose reservation may have ended'});
		}
	}

	/** Size that the request states, or the maximum size; at least one byte, so that an upload without a body counts. */
	#sizeOf({options: {headers}}: RelayedRequest): number {
		const stated = headers['content-length'];
		return Math.max(1, stated === undefined ? this.#options.maxBodyBytes() : Number(stated));
	}
}

/** Result of an attempt of which nothing was sent, so that another server can be chosen. */
export function unsentUpload(detail: string): AttemptFailureResult {
	return {
		kind: 'failure', reason: 'instance-full', retryReason: 'connect-failed', mayHaveRun: false, wasSent: false, choosesAgain: true, detail,
	};
}
