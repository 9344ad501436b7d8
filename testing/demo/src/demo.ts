/** The demo: both deployments on loopback, with a kill, a planned stop and a store outage in the middle. */
import {setTimeout as sleep} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {
	Caller, createKey, judge,
} from '@pomelopick/testing.callers';
import type {CallRecord, Verdict} from '@pomelopick/testing.callers';
import {
	hebrides, listDomains, popescuVlad, startFleet,
} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';

const ENTRIES = 8;
const CALLERS = 12;
const RUN_MS = 12_000;
const KILL_AFTER_MS = 2000;
const STOP_AFTER_MS = 4000;
const OUTAGE_AFTER_MS = 6000;
const OUTAGE_MS = 3000;
const CALL_TIMEOUT_MS = 4000;
const WRITE_PERCENT = 20;
const PERCENT = 100;
const LONGEST_PAUSE_MS = 120;

/** Options of {@link runDemo}. */
export interface RunDemoOptions {
	readonly seed: number;
	readonly report: (line: string) => void;
}

/** Outcome of the demo for one deployment. */
export interface DemoResult extends Verdict {
	readonly deployment: string;
	readonly stopExitCode: number | undefined;
}

/** Runs both deployments one after the other. */
export async function runDemo({seed, report}: RunDemoOptions): Promise<readonly DemoResult[]> {
	const results: DemoResult[] = [];
	for (const deployment of [popescuVlad, hebrides]) {
		report(`${deployment.name}: starting ${ENTRIES} entry instances and ${deployment.services.reduce((sum, {servers}) => sum + servers, 0)} backend servers`);
		results.push(await runDeployment({deployment, seed, report}));
	}

	return results;
}

async function runDeployment({deployment, seed, report}: RunDemoOptions & {readonly deployment: Deployment}): Promise<DemoResult> {
	const fleet = await startFleet({deployment, entries: ENTRIES});
	try {
		const records: CallRecord[] = [];
		const endsAtMs = Date.now() + RUN_MS;
		const callers = Array.from({length: CALLERS}, async (_, index) => runCaller({
			fleet, deployment, seed: seed + index, index, endsAtMs, records,
		}));
		const stopExitCode = await injectFaults({fleet, report});
		await Promise.all(callers);
		return {deployment: deployment.name, stopExitCode, ...judge({records, executions: await fleet.listExecutions()})};
	} finally {
		await fleet.stop();
	}
}

async function injectFaults({fleet, report}: {readonly fleet: Fleet; readonly report: (line: string) => void}): Promise<number | undefined> {
	await sleep(KILL_AFTER_MS);
	const killed = fleet.entries[0]!;
	report(`  killing ${killed.instance.id}`);
	await fleet.killEntry(killed);
	await sleep(STOP_AFTER_MS - KILL_AFTER_MS);
	const stopped = fleet.entries[1]!;
	report(`  planned stop of ${stopped.instance.id}`);
	const stopping = fleet.stopEntry(stopped);
	await sleep(OUTAGE_AFTER_MS - STOP_AFTER_MS);
	report(`  store outage of ${OUTAGE_MS} ms`);
	await fleet.setPlatformFaults({outage: true});
	await sleep(OUTAGE_MS);
	await fleet.setPlatformFaults({outage: false});
	return stopping;
}

interface RunCallerOptions {
	readonly fleet: Fleet;
	readonly deployment: Deployment;
	readonly seed: number;
	readonly index: number;
	readonly endsAtMs: number;
	readonly records: CallRecord[];
}

async function runCaller({fleet, deployment, seed, index, endsAtMs, records}: RunCallerOptions): Promise<void> {
	const random = xoroshiro128plus(seed);
	const draw = (below: number): number => uniformInt(random, 0, below - 1);
	const domain = index % listDomains(deployment).length;
	const caller = new Caller({localAddress: `127.0.${domain + 1}.${index + 1}`, bootstrap: () => fleet.entries.map(({instance}) => instance.callers)});
	while (Date.now() < endsAtMs) {
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
