/** The uploads to backend servers for which bytes are reserved, at the owner of the servers' shards. */
import type {BackendServerName} from '@pomelopick/core.types';

/** Minimum time after which a caller that found no room should retry, in milliseconds. */
const MIN_RETRY_MS = 100;
/** Duration of an upload that is assumed before the first has ended, in milliseconds. */
const FIRST_DURATION_MS = 1000;
/** Weight of the last upload in the mean duration. */
const LAST_WEIGHT = 0.1;

/** Identifies one upload of the fleet. */
export interface UploadId {
	/** Name of the instance that sends it. */
	readonly instance: string;
	/** Number of the process of the instance. */
	readonly process: number;
	/** Number of the upload in the process. */
	readonly upload: number;
}

/** Options of {@link ReservationTable.reserve}. */
export interface ReserveBytesOptions {
	readonly server: BackendServerName;
	readonly id: UploadId;
	readonly bytes: number;
	/** Bytes that may be reserved for the server in all. */
	readonly maxBytes: number;
	/** Monotonic time at which the reservation ends if it is not released before, in milliseconds. */
	readonly endMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Whether bytes were reserved, and if not, the time after which there may be room, in milliseconds. */
export type UploadOutcome = {readonly granted: true} | {readonly granted: false; readonly retryAfterMs: number};

/** The outcome of a reservation that was made. */
export const UPLOAD_GRANTED: UploadOutcome = {granted: true};

interface Reservation {
	readonly bytes: number;
	readonly startedAtMs: number;
	readonly endMs: number;
}

/** The reservations of all servers. */
export class ReservationTable {
	readonly #servers = new Map<BackendServerName, Map<string, Reservation>>();
	#meanDurationMs = FIRST_DURATION_MS;

	/** Reserves bytes if there is room; a reservation that exists already is granted again. */
	reserve({server, id, bytes, maxBytes, endMs, nowMs}: ReserveBytesOptions): UploadOutcome {
		const reservations = this.#listCurrent({server, nowMs});
		const key = keyOf(id);
		if (reservations.has(key)) {
			return UPLOAD_GRANTED;
		}

		const excessBytes = sumOf(reservations) + bytes - maxBytes;
		if (excessBytes > 0) {
			return {granted: false, retryAfterMs: this.#estimateRoomMs({reservations, excessBytes, nowMs})};
		}

		reservations.set(key, {bytes, startedAtMs: nowMs, endMs});
		this.#servers.set(server, reservations);
		return UPLOAD_GRANTED;
	}

	/** Ends a reservation; does nothing if there is none. */
	release({server, id, nowMs}: {readonly server: BackendServerName; readonly id: UploadId; readonly nowMs: number}): void {
		const reservations = this.#servers.get(server);
		const reservation = reservations?.get(keyOf(id));
		if (!reservations || !reservation) {
			return;
		}

		this.#meanDurationMs += LAST_WEIGHT * (nowMs - reservation.startedAtMs - this.#meanDurationMs);
		reservations.delete(keyOf(id));
		if (reservations.size === 0) {
			this.#servers.delete(server);
		}
	}

	/** Removes the reservations that have ended. */
	expire(nowMs: number): void {
		for (const server of this.#servers.keys()) {
			if (this.#listCurrent({server, nowMs}).size === 0) {
				this.#servers.delete(server);
			}
		}
	}

	/** Bytes that are reserved, by server. */
	listBytes(): ReadonlyMap<BackendServerName, number> {
		return new Map([...this.#servers].map(([server, reservations]) => [server, sumOf(reservations)]));
	}

	#listCurrent({server, nowMs}: {readonly server: BackendServerName; readonly nowMs: number}): Map<string, Reservation> {
		const reservations = this.#servers.get(server) ?? new Map<string, Reservation>();
		for (const [key, {endMs}] of reservations) {
			if (nowMs >= endMs) {
				reservations.delete(key);
			}
		}

		return reservations;
	}

	/** Time until enough bytes are expected to be free, in milliseconds, if each upload takes the mean duration. */
	#estimateRoomMs({reservations, excessBytes, nowMs}: {readonly reservations: ReadonlyMap<string, Reservation>; readonly excessBytes: number; readonly nowMs: number}): number {
		const ends = [...reservations.values()]
			.map(({bytes, startedAtMs, endMs}) => ({bytes, leftMs: Math.min(endMs, startedAtMs + this.#meanDurationMs) - nowMs}))
			.sort((left, right) => left.leftMs - right.leftMs);
		let freedBytes = 0;
		const last = ends.find(({bytes}) => {
			freedBytes += bytes;
			return freedBytes >= excessBytes;
		});
		return Math.max(MIN_RETRY_MS, Math.ceil(last?.leftMs ?? this.#meanDurationMs));
	}
}

function keyOf({instance, process, upload}: UploadId): string {
	return `${process}/${upload}/${instance}`;
}

function sumOf(reservations: ReadonlyMap<string, Reservation>): number {
	let bytes = 0;
	for (const reservation of reservations.values()) {
		bytes += reservation.bytes;
	}

	return bytes;
}
