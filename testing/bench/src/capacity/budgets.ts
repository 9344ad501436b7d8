/** Holds figures at the planned size against the budgets of a node and of the store. */
import type {ControlMeasurement} from '../control.js';
import {plannedWatchers, watcherCallsPerSecond} from '../control.js';
import type {MeasuredSlope} from './figure.js';
import type {IdleProcessBytes} from './processes-role.js';
import {
	controlBudget, plannedSize, SECONDS_PER_DAY, storeBudget,
} from './planned-size.js';
import {formatNumber, renderTable} from './report.js';

const BYTES_PER_MEGABYTE = 1_000_000;
const BYTES_PER_KILOBYTE = 1000;
const MILLISECONDS_PER_SECOND = 1000;
const PERCENT = 100;
/** A node takes what changed once and gives it once. */
const GIVEN_AND_TAKEN = 2;

/** One budget and what was found. */
export interface BudgetRow {
	readonly name: string;
	readonly found: number;
	readonly most: number;
	readonly unit: string;
	readonly from: string;
}

/** Options of {@link listBudgets}. */
export interface ListBudgetsOptions {
	readonly slopes: readonly MeasuredSlope[];
	readonly idleBytes: IdleProcessBytes;
	readonly control: ControlMeasurement;
}

/** Works out each budget from the slopes. */
export function listBudgets({slopes, idleBytes, control}: ListBudgetsOptions): readonly BudgetRow[] {
	const slopeOf = (quantity: string): MeasuredSlope => {
		const slope = slopes.find(candidate => candidate.quantity === quantity);
		if (!slope) {
			throw new Error(`no slope was measured for ${quantity}`);
		}

		return slope;
	};

	const planned = (quantity: string): number => slopeOf(quantity).plannedY;
	/** What the variable adds from 0 to the planned size. */
	const added = (quantity: string): number => slopeOf(quantity).line.slope * slopeOf(quantity).plannedX;

	const changesPerSecond = plannedSize.changesPerDay / SECONDS_PER_DAY;
	const tablePercent = (planned('decoding client blocks') + planned('building the table')) * changesPerSecond / MILLISECONDS_PER_SECOND * PERCENT;
	const largestRun = control.rows.at(-1)!;
	const listReads = Math.max(...control.rows.map(({platformCallsPerSecond, watchers}) => platformCallsPerSecond - watcherCallsPerSecond(watchers)));
	const {rootBytes, meanBlockChunkBytes} = control.sizes.find(({clientBlocks}) => clientBlocks === plannedSize.clientBlocks)!;
	const changeBytes = GIVEN_AND_TAKEN * (rootBytes + meanBlockChunkBytes);
	return [
		{
			name: 'processor time of control',
			found: planned('processor time a node') + tablePercent,
			most: controlBudget.corePercent,
			unit: '% of a core',
			from: 'membership and distribution, and decoding the blocks and building their table at every change',
		},
		{
			name: 'state of control',
			found: (planned('stored chunks') + planned('block table')) / BYTES_PER_MEGABYTE,
			most: controlBudget.memoryMegabytes,
			unit: 'MB',
			from: 'chunks and table of the configuration',
		},
		{
			name: 'control over a bare Node process',
			found: (idleBytes.controlLibraries - idleBytes.bare + added('resident memory after changes of client blocks')) / BYTES_PER_MEGABYTE,
			most: controlBudget.memoryMegabytes,
			unit: 'MB',
			from: 'libraries of control, and what the blocks add to an entry process after changes, garbage included',
		},
		{
			name: 'whole process over a bare Node process, at rest',
			found: (planned('resident memory of an entry process') - idleBytes.bare) / BYTES_PER_MEGABYTE,
			most: controlBudget.memoryMegabytes,
			unit: 'MB',
			from: 'the call path with its libraries included',
		},
		{
			name: 'whole process over a bare Node process, after changes',
			found: (planned('resident memory after changes of client blocks') - idleBytes.bare) / BYTES_PER_MEGABYTE,
			most: controlBudget.memoryMegabytes,
			unit: 'MB',
			from: 'the call path with its libraries included',
		},
		{
			name: 'bytes of control',
			found: (planned('bytes a node without changes') + (changeBytes * changesPerSecond)) / BYTES_PER_KILOBYTE,
			most: controlBudget.kilobytesPerSecond,
			unit: 'KB/s',
			from: 'heartbeats, and one root and one chunk a change, taken once and given once',
		},
		{
			name: 'arrival of a change',
			found: largestRun.arrivalMs.p99 / MILLISECONDS_PER_SECOND,
			most: plannedSize.changeInForceSeconds,
			unit: 's',
			from: `p99, measured with ${largestRun.nodes} nodes in one process, not worked out for ${plannedSize.nodes}`,
		},
		{
			name: 'platform calls of control',
			found: listReads + watcherCallsPerSecond(plannedWatchers),
			most: storeBudget.steadyCallsPerSecond,
			unit: 'calls/s',
			from: 'most reads of the instance list in any run, which spaces them by the number of instances, and watches; publishes not counted',
		},
		{
			name: 'store writes of the journal',
			found: planned('store writes'),
			most: storeBudget.steadyCallsPerSecond,
			unit: 'calls/s',
			from: 'at 200 keyed calls a second',
		},
	];
}

/** Renders budgets as a Markdown table with a result in each row. */
export function renderBudgets(rows: readonly BudgetRow[]): string {
	return renderTable({
		header: ['budget', 'found', 'most', 'result', 'from'],
		rows: rows.map(({name, found, most, unit, from}) => {
			const result = found <= most ? 'met' : `missed by ${formatNumber(found - most)} ${unit}`;
			return [name, `${formatNumber(found)} ${unit}`, `${formatNumber(most)} ${unit}`, result, from];
		}),
	});
}
