/** Drives requests from a fixed number of callers for a fixed time: `node load.js OPTIONS`. Prints a line when it starts, one when warm, and its result. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {build} from 'hdr-histogram-js';
import {Agent} from 'undici';
import type {LoadOptions, LoadResult} from './load-process.js';

const MICROSECONDS_PER_MILLISECOND = 1000;
const HIGHEST_MICROSECONDS = 60_000_000;

const {origin, paths, callers, durationMs, warmUpMs} = JSON.parse(process.argv[2] ?? '{}') as LoadOptions;
const dispatcher = new Agent({connections: callers, pipelining: 1});
const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 3});
let failed = 0;
let next = 0;

process.stdout.write('{"ready":true}\n');
await drive({untilMs: performance.now() + warmUpMs});
histogram.reset();
failed = 0;
const startedAtMs = performance.now();
process.stdout.write('{"warm":true}\n');
await drive({untilMs: startedAtMs + durationMs});
const elapsedMs = performance.now() - startedAtMs;
const result: LoadResult = {
	answered: histogram.totalCount,
	failed,
	perSecond: histogram.totalCount / elapsedMs * 1000,
	p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
	p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
};
process.stdout.write(`${JSON.stringify(result)}\n`);
await dispatcher.destroy();

async function drive({untilMs}: {readonly untilMs: number}): Promise<void> {
	await Promise.all(Array.from({length: callers}, async () => {
		while (performance.now() < untilMs) {
			await sendOne();
		}
	}));
}

async function sendOne(): Promise<void> {
	next = (next + 1) % paths.length;
	const sentAtMs = performance.now();
	try {
		const answer = await dispatcher.request({origin, path: paths[next]!, method: 'GET'});
		await answer.body.dump();
		if (answer.statusCode === 200) {
			histogram.recordValue(Math.round((performance.now() - sentAtMs) * MICROSECONDS_PER_MILLISECOND));
		} else {
			failed += 1;
		}
	} catch {
		failed += 1;
	}
}
