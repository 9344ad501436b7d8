/** Measures every role, renders the capacity page's tables and writes them into the page. */
import {readFile, writeFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {measureControl} from '../control.js';
import {listBadDays, renderBadDays} from './bad-days.js';
import {listBudgets, renderBudgets} from './budgets.js';
import type {BudgetRow} from './budgets.js';
import {fitSlope} from './figure.js';
import type {MeasuredSlope} from './figure.js';
import {measureJournalRole} from './journal-role.js';
import {measureLookupRole} from './lookup-role.js';
import {measureIdleProcesses, measureProcessesRole} from './processes-role.js';
import {measurePublishingRole} from './publishing-role.js';
import {renderSlopes, replaceMarkedPart} from './report.js';

const PAGE = fileURLToPath(new URL('../../../../docs/CAPACITY.md', import.meta.url));
const BYTES_PER_MEGABYTE = 1_000_000;
const CONTROL_STEADY_MS = 4000;
const CONTROL_CHANGES = 3;
/** Heartbeats a second of a node at any size of the fleet: one to its successor on each ring. */
const PLANNED_HEARTBEATS = 4;

/** Options of {@link runCapacity}. */
export interface RunCapacityOptions {
	readonly seed: number;
	readonly report: (line: string) => void;
	/** Whether the tables are written into the page. */
	readonly writesPage: boolean;
}

/** What a run gives. */
export interface CapacityResult {
	readonly slopes: readonly MeasuredSlope[];
	readonly budgets: readonly BudgetRow[];
	/** The page's generated part. */
	readonly text: string;
}

function toMegabytes(bytes: number): number {
	return Math.round(bytes / BYTES_PER_MEGABYTE);
}

/** Runs all measurements one after the other. */
export async function runCapacity({seed, report, writesPage}: RunCapacityOptions): Promise<CapacityResult> {
	const slopes: MeasuredSlope[] = [];
	const measurements: ReadonlyArray<{readonly name: string; readonly run: () => Promise<readonly MeasuredSlope[]>}> = [
		{name: 'look-up', run: async () => measureLookupRole({seed})},
		{name: 'publishing', run: async () => measurePublishingRole({seed})},
		{name: 'entry processes', run: async () => measureProcessesRole({seed})},
		{name: 'booking journal', run: async () => measureJournalRole()},
	];
	for (const {name, run} of measurements) {
		report(`measuring: ${name}`);
		slopes.push(...await run());
	}

	report('measuring: membership and distribution');
	const control = await measureControl({seed, steadyMs: CONTROL_STEADY_MS, changes: CONTROL_CHANGES});
	slopes.push(...control.slopes, fitSlope({
		role: 'control',
		quantity: 'processor time a node',
		unit: '% of a core',
		variable: 'heartbeats a node sends a second',
		plannedX: PLANNED_HEARTBEATS,
		points: control.rows.map(({exchangesPerNodePerSecond, corePercentPerNode}) => ({x: exchangesPerNodePerSecond, y: corePercentPerNode})),
	}));

	const idleBytes = await measureIdleProcesses();
	const budgets = listBudgets({slopes, idleBytes, control});
	const text = [
		`Seed ${seed}. A bare Node process holds ${toMegabytes(idleBytes.bare)} MB, one with the libraries of control ${toMegabytes(idleBytes.controlLibraries)} MB.`,
		'### Budgets',
		renderBudgets(budgets),
		'### Slopes',
		renderSlopes(slopes),
		'### Bad days',
		renderBadDays(listBadDays({slopes})),
	].join('\n\n');
	if (writesPage) {
		await writeFile(PAGE, replaceMarkedPart({page: await readFile(PAGE, 'utf8'), content: text}));
	}

	return {slopes, budgets, text};
}
