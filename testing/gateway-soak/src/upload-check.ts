/**
 * Checks the bytes of uploads that servers held at once against the bound of all instances together.
 *
 * An upload counts with the size that it states, or with the maximum size of a body, from the arrival of its head at the
 * server until the server responds or its connection closes.
 */
import {groupBy} from '@pomelopick/testing.history';
import type {Violation} from './call-check.js';

/**
 * Time for which a server must hold more than the bound to violate it, in milliseconds. A gateway that aborts an upload
 * closes the connection and releases the reservation at the same time, and the next upload may reach the server before the
 * close does; the uploads of a round last several times as long.
 */
const TOLERATED_EXCESS_MS = 250;

/** An upload as a server saw it. */
export interface UploadRecord {
	readonly requestId: string;
	readonly server: string;
	readonly bytes: number;
	/** Monotonic times at which its head arrived, and at which the server responded or its connection closed, in milliseconds. */
	readonly fromMs: number;
	readonly toMs: number;
}

/** Bytes that a server held at once, by number of slots and maximum size of a body. */
export function uploadBound({slots, maxBodyBytes}: {readonly slots: number; readonly maxBodyBytes: number}): number {
	return Math.ceil(slots / 2) * maxBodyBytes;
}

/** Returns a violation for each period in which a server held more bytes of uploads than the bound. */
export function checkUploads({uploads, boundBytes}: {readonly uploads: readonly UploadRecord[]; readonly boundBytes: number}): readonly Violation[] {
	return [...groupBy(uploads, ({server}) => server)].flatMap(([server, own]) => listExcesses({uploads: own, boundBytes})
		.filter(({fromMs, toMs}) => toMs - fromMs > TOLERATED_EXCESS_MS)
		.map(({requestId, bytes, fromMs, toMs}): Violation => ({
			requestId, kind: 'upload-bytes', detail: `${server} held up to ${bytes} bytes for ${Math.round(toMs - fromMs)} ms from ${Math.round(fromMs)} ms on, allowed are ${boundBytes}`,
		})));
}

/** Largest number of bytes that any server held at once. */
export function largestHeld(uploads: readonly UploadRecord[]): number {
	return Math.max(0, ...[...groupBy(uploads, ({server}) => server).values()].flatMap(own => listHeld(own).map(({heldBytes}) => heldBytes)));
}

interface Held {
	readonly requestId: string;
	readonly atMs: number;
	/** Bytes that the server holds from then on. */
	readonly heldBytes: number;
}

/** Bytes that a server held after each arrival and each end of an upload; ends come first. */
function listHeld(uploads: readonly UploadRecord[]): readonly Held[] {
	let heldBytes = 0;
	return uploads
		.flatMap(({requestId, bytes, fromMs, toMs}) => [{requestId, atMs: fromMs, change: bytes}, {requestId, atMs: toMs, change: -bytes}])
		.toSorted((left, right) => left.atMs - right.atMs || left.change - right.change)
		.map(({requestId, atMs, change}) => {
			heldBytes += change;
			return {requestId, atMs, heldBytes};
		});
}

interface Excess {
	/** Upload whose arrival began it. */
	readonly requestId: string;
	readonly fromMs: number;
	readonly toMs: number;
	readonly bytes: number;
}

/** Periods in which a server held more than the bound without a break. */
function listExcesses({uploads, boundBytes}: {readonly uploads: readonly UploadRecord[]; readonly boundBytes: number}): readonly Excess[] {
	const excesses: Excess[] = [];
	let current: Excess | undefined;
	for (const {requestId, atMs, heldBytes} of listHeld(uploads)) {
		if (heldBytes > boundBytes) {
			current = {
				requestId: current?.requestId ?? requestId, fromMs: current?.fromMs ?? atMs, toMs: atMs, bytes: Math.max(current?.bytes ?? 0, heldBytes),
			};
		} else if (current) {
			excesses.push({...current, toMs: atMs});
			current = undefined;
		}
	}

	return excesses;
}
