/** Sends bookings at a steady rate from a process of its own: `node keyed-load.js OPTIONS`. Prints a line when it is ready, starts at a line of input and prints its result. */
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {build, encodeIntoCompressedBase64} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {createKey} from '@pomelopick/testing.callers';
import type {KeyedLoadOptions, KeyedLoadResult} from './keyed-load-process.js';

const TICK_MS = 5;
const CALL_TIMEOUT_MS = 3000;
const BODY = JSON.stringify({note: 'x'.repeat(200)});
const MICROSECONDS_PER_MILLISECOND = 1000;
const HIGHEST_MICROSECONDS = 60_000_000;

const {endpoints, callsPerSecond, durationMs, isKeyed} = JSON.parse(process.argv[2] ?? '{}') as KeyedLoadOptions;
const agent = new Agent({pipelining: 1});
const histogram = build({highestTrackableValue: HIGHEST_MICROSECONDS});
const refusals: Record<string, number> = {};

process.stdout.write('{"ready":true}\n');
await once(process.stdin, 'data');
process.stdin.destroy();
await drive();
await agent.destroy();
const result: KeyedLoadResult = {histogram: encodeIntoCompressedBase64(histogram), refusals};
process.stdout.write(`${JSON.stringify(result)}\n`);

/** Calls arrive evenly whatever becomes of those before. */
async function drive(): Promise<void> {
	const running: Array<Promise<void>> = [];
	const startedAtMs = performance.now();
	while (performance.now() - startedAtMs < durationMs) {
		const due = Math.floor((performance.now() - startedAtMs) * callsPerSecond / 1000);
		while (running.length < due) {
			running.push(sendOne(running.length));
		}

		await sleep(TICK_MS);
	}

	await Promise.all(running);
}

async function sendOne(index: number): Promise<void> {
	const {address, port} = endpoints[index % endpoints.length]!;
	const startedAtMs = performance.now();
	try {
		const response = await request(`http://${address}:${port}/v1/services/ledger/bookings/${process.pid}-${index}`, {
			method: 'POST', body: BODY, dispatcher: agent, headers: {'x-request-timeout-ms': String(CALL_TIMEOUT_MS), ...(isKeyed && {'idempotency-key': createKey(), 'x-call-attempt': '1'})},
		});
		const text = await response.body.text();
		if (response.statusCode === 200) {
			histogram.recordValue(Math.round((performance.now() - startedAtMs) * MICROSECONDS_PER_MILLISECOND));
			return;
		}

		noteRefusal((JSON.parse(text) as {readonly title?: string}).title ?? String(response.statusCode));
	} catch (error) {
		noteRefusal((error as {readonly code?: string}).code ?? 'no-answer');
	}
}

function noteRefusal(reason: string): void {
	refusals[reason] = (refusals[reason] ?? 0) + 1;
}
