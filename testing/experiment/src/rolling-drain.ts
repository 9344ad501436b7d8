/** Drains one site after the other by configuration, and one server by its own word. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendStatistics} from '@pomelopick/testing.backend-stand-in';
import {
	atMost, LONGEST_WORK_MS, safetyTargets,
} from './scenario.js';
import type {ExtraFigures, Scenario, ScenarioContext} from './scenario.js';

const DRAIN_INTERVAL_MS = 2500;
const DRAINS = 3;
const LAST_NEW_CALL_MS = 3000;

interface DrainRecord {
	readonly site: string;
	readonly fromMs: number;
	readonly toMs: number;
}

const records: DrainRecord[] = [];
let shedAfterGrace = 0;

/** The scenario. */
export const rollingDrain: Scenario = {
	load: 0.6,
	during: drainInTurn,
	after: measureDrains,
	targets: figures => [
		...safetyTargets(figures).filter(({name}) => name !== 'slots overcommitted'),
		atMost({name: 'last new call after a drain, ms', value: Number(figures.extra.lastNewCallMs), bound: LAST_NEW_CALL_MS}),
		atMost({name: 'drain time, ms', value: Number(figures.extra.drainMs), bound: LONGEST_WORK_MS + LAST_NEW_CALL_MS}),
		atMost({name: 'calls to a server 3 s after its own word', value: Number(figures.extra.callsAfterOwnWord), bound: 0}),
	],
};

async function drainInTurn({fleet, deployment}: ScenarioContext): Promise<void> {
	const set = fleet.configurationSet();
	records.length = 0;
	for (let index = 0; index < DRAINS; index += 1) {
		const site = set.sites[index]!.name;
		const fromMs = Date.now();
		await fleet.publish({...set, drains: [{name: `drain-${index + 1}`, target: {kind: 'site', name: site}}]});
		await sleep(DRAIN_INTERVAL_MS);
		records.push({site, fromMs, toMs: Date.now()});
	}

	const leaving = fleet.backends.findLast(({planned}) => planned.service === deployment.services[0]!.name)!;
	const shedOf = async (): Promise<number> => {
		const statistics: readonly BackendStatistics[] = await fleet.listStatistics();
		return statistics.find(({name}) => name === leaving.planned.name)!.shed;
	};

	await fleet.setBehaviour({backend: leaving, behaviour: {draining: true}});
	await sleep(LAST_NEW_CALL_MS);
	const shedByThen = await shedOf();
	await sleep(DRAIN_INTERVAL_MS);
	shedAfterGrace = await shedOf() - shedByThen;
}

async function measureDrains({fleet}: ScenarioContext): Promise<ExtraFigures> {
	const figures: ExtraFigures = {callsAfterOwnWord: shedAfterGrace};
	let lastNewCallMs = 0;
	let drainMs = 0;
	const executions = await fleet.listExecutionsByServer();
	for (const {site, fromMs, toMs} of records) {
		const at = fleet.backends.filter(({planned}) => planned.site === site).flatMap(({planned}) => executions.get(planned.name) ?? []);
		const started = at.filter(({startedAtMs}) => startedAtMs >= fromMs && startedAtMs < toMs);
		const lastStartMs = Math.max(0, ...started.map(({startedAtMs}) => startedAtMs - fromMs));
		const lastEndMs = Math.max(0, ...at.filter(({startedAtMs, endedAtMs}) => startedAtMs < toMs && (endedAtMs ?? 0) >= fromMs).map(({endedAtMs}) => (endedAtMs ?? toMs) - fromMs));
		figures[`${site}: last new call, ms`] = lastStartMs;
		figures[`${site}: drain time, ms`] = lastEndMs;
		lastNewCallMs = Math.max(lastNewCallMs, lastStartMs);
		drainMs = Math.max(drainMs, lastEndMs);
	}

	return {...figures, lastNewCallMs, drainMs};
}
