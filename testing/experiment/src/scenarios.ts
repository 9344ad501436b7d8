/** The scenarios, by name. */
import {setTimeout as sleep} from 'node:timers/promises';
import {postJson} from '@pomelopick/testing.fleet';
import type {BackendProcess} from '@pomelopick/testing.fleet';
import {rollingDrain} from './rolling-drain.js';
import {coldShift} from './cold-shift.js';
import {
	latencyTargets, overloadTargets, safetyTargets,
} from './scenario.js';
import type {Scenario, ScenarioContext} from './scenario.js';

const FAULT_AFTER_MS = 3000;
const REPORT_LAG_MS = 5000;
const SLOW_EXTRA_MS = 1000;
const FOR_EVER_MS = 1_000_000_000;

/** All scenarios. */
export const scenarios: Readonly<Record<string, Scenario>> = {
	steady: {load: 0.8, targets: figures => [...safetyTargets(figures), ...latencyTargets(figures)]},
	frost: {load: 3, targets: figures => [...safetyTargets(figures), ...overloadTargets(figures)]},
	'region-lost': {load: 0.5, during: loseRegion, targets: safetyTargets},
	'cold-shift': coldShift,
	'rolling-drain': rollingDrain,
	'lagging-reports': {load: 0.8, behaviour: {reportLagMs: REPORT_LAG_MS}, targets: figures => [...safetyTargets(figures), ...latencyTargets(figures)]},
	'lying-reports': {load: 0.8, during: lie, targets: figures => [...safetyTargets(figures), ...latencyTargets(figures)]},
	'slow-server': {load: 0.7, during: slowDown, targets: figures => [...safetyTargets(figures), ...latencyTargets(figures)]},
	'silent-connections': {load: 0.6, during: silenceConnections, targets: safetyTargets},
};

async function loseRegion({fleet, deployment}: ScenarioContext): Promise<void> {
	await sleep(FAULT_AFTER_MS);
	const lost = deployment.regions[0]!;
	const entries = fleet.entries.filter(({instance}) => instance.failureDomain.startsWith(`${lost}-`));
	const backends = fleet.backends.filter(({planned}) => planned.site.startsWith(`${lost}-`));
	await Promise.all([...entries.map(async entry => fleet.killEntry(entry)), ...backends.map(async ({child}) => child.kill())]);
}

/** Every second server reports no load, the others far too much, and all say that they are not healthy. */
async function lie({fleet}: ScenarioContext): Promise<void> {
	await Promise.all(fleet.backends.map(async (backend, index) => fleet.setBehaviour({backend, behaviour: {reportedInFlight: index % 2 === 0 ? 0 : 50, reportedHealthy: false}})));
}

async function slowDown({fleet}: ScenarioContext): Promise<void> {
	await fleet.setBehaviour({backend: fleet.backends[0]!, behaviour: {coldExtraMs: SLOW_EXTRA_MS, coldForMs: FOR_EVER_MS}});
}

async function silenceConnections({fleet}: ScenarioContext): Promise<void> {
	await sleep(FAULT_AFTER_MS);
	const frozen = fleet.backends.filter((_: BackendProcess, index) => index < 2);
	await Promise.all(frozen.map(async ({endpoint}) => postJson({endpoint, path: '/stand-in/behaviour', body: {freezeOpenConnections: true}})));
}
