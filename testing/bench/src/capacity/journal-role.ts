/** Booking journal: store calls and bytes against the rate of keyed calls. */
import {measure} from '@pomelopick/testing.journal-bench';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import {fitSlope} from './figure.js';
import type {MeasuredSlope} from './figure.js';

const CALL_RATES = [25, 50, 100, 200];
const DURATION_MS = 3000;
/** Keyed calls a second that the page works out; no rate was given for the planned size. */
const WORKED_OUT_CALLS_PER_SECOND = 200;

/** Measures the journal at several rates. */
export async function measureJournalRole(): Promise<readonly MeasuredSlope[]> {
	const rows: Array<{readonly x: number; readonly writes: number; readonly bytes: number; readonly grantP99Ms: number}> = [];
	for (const callsPerSecond of CALL_RATES) {
		const platform = await startPlatformStandIn();
		const measured = await measure({
			way: 'journal', platform: platform.endpoint, callsPerSecond, durationMs: DURATION_MS,
		});
		await platform.stop();
		rows.push({
			x: callsPerSecond, writes: measured.storeWritesPerSecond, bytes: measured.storeBytesPerSecond, grantP99Ms: measured.grantP99Ms,
		});
	}

	const shared = {role: 'booking journal', variable: 'keyed calls/s', plannedX: WORKED_OUT_CALLS_PER_SECOND};
	return [
		fitSlope({
			...shared, quantity: 'store writes', unit: 'calls/s', points: rows.map(({x, writes}) => ({x, y: writes})),
		}),
		fitSlope({
			...shared, quantity: 'bytes to and from the store', unit: 'bytes/s', points: rows.map(({x, bytes}) => ({x, y: bytes})),
		}),
		fitSlope({
			...shared, quantity: 'added by the intent, p99', unit: 'ms', points: rows.map(({x, grantP99Ms}) => ({x, y: grantP99Ms})),
		}),
	];
}
