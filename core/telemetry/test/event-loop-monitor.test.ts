import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {DecisionLog, EventLoopMonitor, ServedCounters} from '@pomelopick/core.telemetry';

/** Stalls shorter and longer than the interval of reports, and the least that is told of each, in milliseconds. */
const stalls = [{stallMs: 600, leastMs: 550}, {stallMs: 3000, leastMs: 1950}];
const POLL_MS = 50;

describe('EventLoopMonitor', () => {
	for (const {stallMs, leastMs} of stalls) {
		it(`logs a stall of ${stallMs} ms`, async () => {
			const lines: Array<{readonly event: string; readonly delayMs: number}> = [];
			const counters = new ServedCounters();
			const log = new DecisionLog({
				common: {}, wallClock: () => Date.now(), write(line) {
					lines.push(JSON.parse(line) as typeof lines[number]);
					return true;
				},
			});
			const monitor = new EventLoopMonitor({counters, log});
			monitor.start();
			try {
				await sleep(POLL_MS * 2);
				const endMs = performance.now() + stallMs;
				while (performance.now() < endMs) {
					// The loop stands still.
				}

				while (!lines.some(({delayMs}) => delayMs >= leastMs)) {
					await sleep(POLL_MS);
				}

				assert.deepEqual(new Set(lines.map(({event}) => event)), new Set(['event-loop-stalled']));
				assert.match(await counters.text(), /pomelopick_duration_seconds_count\{what="event-loop-delay"\} [1-9]/u);
			} finally {
				monitor.stop();
			}
		});
	}
});
