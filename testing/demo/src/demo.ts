/** The product's own part of the demo: both deployments on loopback, with a kill, a planned stop and a store outage in the middle. */
import {setTimeout as sleep} from 'node:timers/promises';
import {compareRecords} from '@pomelopick/testing.callers';
import type {RecordSummary} from '@pomelopick/testing.callers';
import {hebrides, popescuVlad, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';
import {listPercentiles} from './percentiles.js';
import type {Percentiles} from './percentiles.js';
import {driveCallers} from './traffic.js';

const ENTRIES = 8;
const CALLERS = 12;
const RUN_MS = 12_000;
const KILL_AFTER_MS = 2000;
const STOP_AFTER_MS = 4000;
const OUTAGE_AFTER_MS = 6000;
const OUTAGE_MS = 3000;

/** Options of {@link runDemo}. */
export interface RunDemoOptions {
	readonly seed: number;
	readonly report: (line: string) => void;
}

/** Outcome of the demo for one deployment. */
export interface DemoResult extends RecordSummary, Percentiles {
	readonly deployment: string;
	readonly stopExitCode: number | undefined;
	/** Calls that ended with an error that promises nothing, or with their instance. */
	readonly failed: number;
}

/** Whether the runs made calls and none of them was silent, wrong, executed twice or falsely told "not run". */
export function isClean(results: readonly DemoResult[]): boolean {
	return results.length > 0 && results.every(({calls, silent, wrongAnswers, doubleExecutions, falseNotRun}) => calls > 0 && silent + wrongAnswers + doubleExecutions + falseNotRun === 0);
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
		const calling = driveCallers({
			fleet, deployment, seed, callers: CALLERS, endsAtMs: Date.now() + RUN_MS,
		});
		const stopExitCode = await injectFaults({fleet, report});
		const records = await calling;
		const comparison = compareRecords({records, executions: await fleet.listExecutions()});
		const {calls, answered, refused, silent, wrongAnswers} = comparison;
		return {
			deployment: deployment.name,
			stopExitCode,
			failed: calls - answered - refused - silent - wrongAnswers,
			...listPercentiles(records.map(({elapsedMs}) => elapsedMs)),
			...comparison,
		};
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
