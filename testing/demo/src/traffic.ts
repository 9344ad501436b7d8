/** Calls of all services of a deployment, from callers spread over its sites. */
import {setTimeout as sleep} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {Caller, createKey} from '@pomelopick/testing.callers';
import type {CallRecord} from '@pomelopick/testing.callers';
import {listFailureDomains} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';

const CALL_TIMEOUT_MS = 4000;
const WRITE_PERCENT = 20;
const PERCENT = 100;
const LONGEST_PAUSE_MS = 120;

/** Options of {@link driveCallers}. */
export interface DriveCallersOptions {
	readonly fleet: Fleet;
	readonly deployment: Deployment;
	readonly seed: number;
	/** Callers; each has at most one call in progress. */
	readonly callers: number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly endsAtMs: number;
	/** Ends the callers sooner, each after its call in progress. */
	readonly signal?: AbortSignal;
}

/** Drives all callers until the end and answers how each call ended. */
export async function driveCallers({callers, seed, ...options}: DriveCallersOptions): Promise<readonly CallRecord[]> {
	const records: CallRecord[] = [];
	await Promise.all(Array.from({length: callers}, async (_, index) => driveCaller({
		...options, seed: seed + index, index, records,
	})));
	return records;
}

interface DriveCallerOptions extends Omit<DriveCallersOptions, 'callers'> {
	readonly index: number;
	readonly records: CallRecord[];
}

async function driveCaller({fleet, deployment, seed, index, endsAtMs, signal, records}: DriveCallerOptions): Promise<void> {
	const random = xoroshiro128plus(seed);
	const draw = (below: number): number => uniformInt(random, 0, below - 1);
	const domain = index % listFailureDomains(deployment).length;
	const caller = new Caller({localAddress: `127.0.${domain + 1}.${index + 1}`, bootstrap: () => fleet.entries.map(({instance}) => instance.callers)});
	while (Date.now() < endsAtMs && !signal?.aborted) {
		const service = deployment.services[draw(deployment.services.length)]!;
		const isWrite = service.priority === 'interactive' && draw(PERCENT) < WRITE_PERCENT;
		const path = `/items/${draw(100_000)}`;
		records.push(await caller.call(isWrite
			? {
				service: service.name, method: 'POST', path, body: JSON.stringify({note: draw(1000)}), key: createKey(), timeoutMs: CALL_TIMEOUT_MS,
			}
			: {service: service.name, path, timeoutMs: CALL_TIMEOUT_MS}));
		await sleep(draw(LONGEST_PAUSE_MS));
	}

	await caller.close();
}
