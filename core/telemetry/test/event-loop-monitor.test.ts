import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {DecisionLog, EventLoopMonitor, ServedCounters} from '@pomelopick/core.telemetry';

/** Stalls shorter and longer than the interval of reports, and the minimum delay that is logged for each, in milliseconds. */
const stalls = [{stallMs: 600, leastMs: 550}, {stallMs: 3000, leastMs: 2950}];
const POLL_MS = 50;
const LINE_TIMEOUT_MS = 10_000;
/** Time before the stall, so that one report was made before, in milliseconds. */
const WARM_UP_MS = 1500;

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
			// Other timers that are due at the end of the stall run before the next sample.
			const timer = setInterval(() => undefined, 10);
			try {
				await sleep(WARM_UP_MS);
				const endMs = performance.now() + stallMs;
				while (performance.now() < endMs) {
					// The loop is blocked.
				}

				for (const endsAtMs = performance.now() + LINE_TIMEOUT_MS; performance.now() < endsAtMs && !lines.some(({delayMs}) => delayMs >= leastMs);) {
					await sleep(POLL_MS);
				}

				assert.deepEqual(new Set(lines.map(({event}) => event)), new Set(['event-loop-stalled']));
				assert.match(await counters.text(), /pomelopick_duration_seconds_count\{what="event-loop-delay"\} [1-9]/u);
			} finally {
				clearInterval(timer);
				monitor.stop();
			}
		});
	}
});
