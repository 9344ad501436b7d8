/** Decides whether an upload may be sent to a backend server: the owner of the server's shard reserves its bytes. */
import {hashTextToNumber} from '@pomelopick/core.rendezvous';
import type {BackendServerName} from '@pomelopick/core.types';
import {ShareHistory} from './share-history.js';
import type {ShardOwnership} from './shard-ownership.js';
import {SHARDS} from './shard-record.js';
import {ReservationTable} from './reservation-table.js';
import type {UploadId, UploadOutcome} from './reservation-table.js';

/** Share of a server's slots that uploads of all instances together occupy, so that other requests find slots and memory too. */
const SLOT_SHARE = 0.5;
/** Time for which a reservation is kept after its deadline, in milliseconds: its sender aborts the upload at the deadline or, after a suspension, at the next check of its clocks, 200 ms later at most. */
const ABORT_MARGIN_MS = 500;
/** Time after which to ask again when the owner does not know the server or the timeout of its route, in milliseconds: they are on their way. */
const UNKNOWN_RETRY_MS = 300;
/** Time after which to ask again when the owner's share is too small for the upload, in milliseconds. */
const SMALL_SHARE_RETRY_MS = 1000;

/** Number of the shard that a server belongs to. */
export function shardOfServer(server: BackendServerName): number {
	return hashTextToNumber(server) % SHARDS;
}

/** Maximum number of bytes of all uploads that the fleet sends to a server at the same time. */
export function uploadBound({slots, maxBodyBytes}: {readonly slots: number; readonly maxBodyBytes: number}): number {
	return Math.ceil(slots * SLOT_SHARE) * maxBodyBytes;
}

/** Options of {@link UploadReservations.reserve}. */
export interface ReserveUploadOptions {
	readonly server: BackendServerName;
	readonly id: UploadId;
	readonly bytes: number;
	/** Time until the deadline of the upload, in milliseconds. */
	readonly validMs: number;
	/** Bytes of uploads that the server may be sent at once by the whole fleet; undefined: the server is not known. */
	readonly boundBytes: number | undefined;
	/** Longest timeout of an upload route, in milliseconds. */
	readonly longestMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** The reservations that this instance grants. */
export class UploadReservations {
	readonly #ownerships: readonly ShardOwnership[];
	readonly #shareHistories: readonly ShareHistory[];
	readonly #table = new ReservationTable();

	constructor({ownerships}: {readonly ownerships: readonly ShardOwnership[]}) {
		this.#ownerships = ownerships;
		this.#shareHistories = ownerships.map(() => new ShareHistory());
	}

	/** Records the shares that this instance may use. Must be called before each write about shards. */
	step(nowMs: number): void {
		for (const shard of this.#ownerships.keys()) {
			this.#recordShare({shard, nowMs});
		}

		this.#table.expire(nowMs);
	}

	/** Reserves the bytes of an upload; undefined when this instance may not use the server's shard. */
	reserve({server, id, bytes, validMs, boundBytes, longestMs, nowMs}: ReserveUploadOptions): UploadOutcome | undefined {
		const shard = shardOfServer(server);
		const share = this.#recordShare({shard, nowMs});
		if (share === 0) {
			return undefined;
		}

		if (boundBytes === undefined || validMs > longestMs) {
			return {granted: false, retryAfterMs: UNKNOWN_RETRY_MS};
		}

		const window = {windowMs: longestMs + ABORT_MARGIN_MS, nowMs};
		const maxBytes = this.#shareHistories[shard]!.minimum(window) * boundBytes;
		if (bytes > maxBytes) {
			const isWaiting = bytes <= share * boundBytes;
			return {granted: false, retryAfterMs: isWaiting ? Math.max(1, Math.ceil(this.#shareHistories[shard]!.waitLeftMs(window))) : SMALL_SHARE_RETRY_MS};
		}

		return this.#table.reserve({
			server, id, bytes, maxBytes, endMs: nowMs + validMs + ABORT_MARGIN_MS, nowMs,
		});
	}

	/** Ends a reservation. */
	release(options: {readonly server: BackendServerName; readonly id: UploadId; readonly nowMs: number}): void {
		this.#table.release(options);
	}

	/** Bytes that are reserved, by server. */
	listBytes(): ReadonlyMap<BackendServerName, number> {
		return this.#table.listBytes();
	}

	#recordShare({shard, nowMs}: {readonly shard: number; readonly nowMs: number}): number {
		const ownership = this.#ownerships[shard]!;
		const share = ownership.share(nowMs);
		this.#shareHistories[shard]!.record({share, isFirstOwner: ownership.isFirstOwner, nowMs});
		return share;
	}
}
