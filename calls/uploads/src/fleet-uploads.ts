/** Reserves the bytes of the uploads of this instance at the owners of their servers' shards. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {RefusalLog} from '@pomelopick/core.telemetry';
import type {BackendServerName, CodedError, Endpoint} from '@pomelopick/core.types';
import {shardOfServer} from '@pomelopick/steering.quotas';
import type {InstanceProcess, UploadOutcome} from '@pomelopick/steering.quotas';
import type {UploadClient} from './upload-client.js';
import type {UploadRelease, UploadRequest} from './upload-messages.js';
import type {UploadUse} from './upload-use.js';

/** Time for which an owner that gave no answer is not asked again, in milliseconds, so that further uploads do not wait for it. */
const BACKOFF_MS = 500;
/** The same for an owner that responded that it may not use the shard, in milliseconds. */
const NOT_OWNER_BACKOFF_MS = 250;

/** Bytes that are reserved for one upload. */
export interface UploadReservation {
	/** Ends the reservation. */
	readonly end: () => void;
}

/** Why no bytes were reserved. */
export interface UploadRefusal {
	readonly reason: 'no-room' | 'owner-unreachable';
	/** Time after which there may be room, in milliseconds; undefined: unknown. */
	readonly retryAfterMs: number | undefined;
	readonly detail: string;
}

/** Bytes that were reserved, or why not. */
export type ReservedUpload = Either<UploadRefusal, UploadReservation>;

/** Owner of a shard. */
export interface UploadOwner extends InstanceProcess {
	/** Where other instances reach it; undefined: it is not registered. */
	readonly peers: Endpoint | undefined;
	readonly isSelf: boolean;
}

/** Options of {@link FleetUploads}. */
export interface FleetUploadsOptions {
	readonly self: InstanceProcess;
	/** Owner of a shard; undefined: it has none that is known. */
	readonly findOwner: (shard: number) => UploadOwner | undefined;
	/** Reserves and releases at this instance itself. */
	readonly own: {readonly reserve: (request: UploadRequest) => UploadOutcome | undefined; readonly release: (release: UploadRelease) => void};
	readonly client: Pick<UploadClient, 'reserve' | 'release'>;
	readonly use: Pick<UploadUse, 'record'>;
	readonly refusals: Pick<RefusalLog, 'line' | 'accept'>;
	/** Counts an event. */
	readonly count: (event: string) => void;
	/** Monotonic time, in milliseconds, read after a suspension was detected. */
	readonly now: () => number;
}

/** Options of {@link FleetUploads.reserve}. */
export interface ReserveOptions {
	readonly server: BackendServerName;
	readonly bytes: number;
	/** Time until the deadline of the upload, in milliseconds. */
	readonly validMs: number;
}

interface AskOptions {
	readonly owner: UploadOwner;
	readonly request: UploadRequest;
	readonly release: UploadRelease;
}

/** The reservations for the uploads of this instance. */
export class FleetUploads {
	readonly #options: FleetUploadsOptions;
	/** Monotonic times until which owners are not asked, in milliseconds, by instance and process. */
	readonly #backoffs = new Map<string, number>();
	#count = 0;

	constructor(options: FleetUploadsOptions) {
		this.#options = options;
	}

	/** Reserves the bytes of an upload; resolves later only if another instance has to be asked. Never rejects. */
	reserve({server, bytes, validMs}: ReserveOptions): ReservedUpload | Promise<ReservedUpload> {
		const {self, findOwner} = this.#options;
		const owner = findOwner(shardOfServer(server));
		this.#count += 1;
		const release: UploadRelease = {
			server, instance: self.id, process: self.process, upload: this.#count,
		};
		const request: UploadRequest = {...release, bytes, validMs: Math.max(1, Math.ceil(validMs))};
		if (owner?.isSelf) {
			return this.#reserveOwn({owner, request, release});
		}

		return owner?.peers
			? this.#ask({
				owner, endpoint: owner.peers, request, release,
			})
			: this.#refuseUnreachable({server, owner, error: {code: 'no-owner', message: 'the shard of the server has no owner that is registered'}});
	}

	#reserveOwn({owner, request, release}: AskOptions): ReservedUpload {
		const {own} = this.#options;
		const {server} = request;
		const outcome = own.reserve(request);
		if (!outcome) {
			return this.#refuseUnreachable({server, owner, error: {code: 'not-owner', message: 'this instance may not use the shard now'}});
		}

		return this.#decide({
			server, outcome, end() {
				own.release(release);
			},
		});
	}

	async #ask({owner, endpoint, request, release}: AskOptions & {readonly endpoint: Endpoint}): Promise<ReservedUpload> {
		const {client, refusals, count, now} = this.#options;
		const {server} = request;
		const key = `${owner.id} ${owner.process}`;
		if (now() < (this.#backoffs.get(key) ?? 0)) {
			return this.#refuseUnreachable({server, owner, error: {code: 'backed-off', message: 'it gave no answer shortly before'}});
		}

		const end = async (): Promise<void> => {
			const error = await client.release({endpoint, release});
			count(error ? `upload-release.${error.code}` : 'upload-release.sent');
		};

		count('upload.asked');
		const answered = await client.reserve({endpoint, request});
		const nowMs = now();
		return answered.caseOf<ReservedUpload>({
			Left: error => {
				this.#backoffs.set(key, nowMs + (error.code === 'not-owner' ? NOT_OWNER_BACKOFF_MS : BACKOFF_MS));
				this.#forgetBackoffs(nowMs);
				if (error.code === 'not-answered') {
					// It may have reserved the bytes, and its answer came late.
					void end();
				}

				return this.#refuseUnreachable({server, owner, error});
			},
			Right: outcome => {
				refusals.accept(owner.id);
				return this.#decide({
					server, outcome, end() {
						void end();
					},
				});
			},
		});
	}

	#decide({server, outcome, end}: {readonly server: BackendServerName; readonly outcome: UploadOutcome; readonly end: () => void}): ReservedUpload {
		this.#options.use.record({server, outcome: outcome.granted ? 'granted' : 'refused'});
		return outcome.granted ? Right({end}) : Left({reason: 'no-room', retryAfterMs: outcome.retryAfterMs, detail: `${server} has no room for the upload`});
	}

	#refuseUnreachable({server, owner, error: {code, message}}: {readonly server: BackendServerName; readonly owner: UploadOwner | undefined; readonly error: CodedError}): ReservedUpload {
		const {use, refusals, count} = this.#options;
		count(`upload.${code}`);
		use.record({server, outcome: 'unreachable'});
		refusals.line('upload-owner-unreachable', {subject: owner?.id ?? `shard ${shardOfServer(server)}`, reason: code, detail: message});
		return Left({reason: 'owner-unreachable', retryAfterMs: undefined, detail: `the instance that reserves uploads to ${server} gave no answer (${code})`});
	}

	#forgetBackoffs(nowMs: number): void {
		for (const [key, untilMs] of this.#backoffs) {
			if (nowMs >= untilMs) {
				this.#backoffs.delete(key);
			}
		}
	}
}
