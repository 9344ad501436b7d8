/** Prints measurements as tables for a person, judged against their targets. */
import {formatTable} from '@pomelopick/core.table';
import {LEAST_RATE_RATIO, MOST_P99_RATIO} from './entry.js';
import type {EntryMeasurement} from './entry.js';
import {LEAST_LOOK_UPS_PER_SECOND, MOST_TABLE_BYTES} from './lookup.js';
import type {LookupMeasurement} from './lookup.js';
import {MOST_START_CPU_MS} from './start.js';
import type {StartMeasurement} from './start.js';

const BYTES_PER_MEGABYTE = 1_000_000;

/** Renders an entry instance beside the pass-through. */
export function formatEntry({rounds, rateRatio, p50Ratio, p99Ratio, cpuRatio}: EntryMeasurement): string {
	const columns = ['side', 'round', 'calls/s', 'p50 ms', 'p99 ms', 'CPU us/call', 'cores', 'failed'];
	const rows = rounds.flatMap((round, index) => (['passThrough', 'entry'] as const).map(side => {
		const load = round[side];
		return [
			side, index + 1, Math.round(load.perSecond), load.p50Ms.toFixed(2), load.p99Ms.toFixed(2), load.cpuMicroseconds.toFixed(0), load.cores.toFixed(2), load.failed,
		];
	}));
	const judged = [
		['rate', rateRatio.toFixed(2), `>= ${LEAST_RATE_RATIO}`, describeResult(rateRatio >= LEAST_RATE_RATIO)],
		['p50', p50Ratio.toFixed(2), '', ''],
		['p99', p99Ratio.toFixed(2), `<= ${MOST_P99_RATIO}`, describeResult(p99Ratio <= MOST_P99_RATIO)],
		['CPU per call', cpuRatio.toFixed(2), '', ''],
	];
	return [
		formatTable({columns, rows}),
		formatTable({columns: ['entry / pass-through', 'median', 'target', ''], rows: judged}),
	].join('\n\n');
}

/** Renders the look-ups. */
export function formatLookup({clientBlocks, http, perCoreSecond, purePerSecond, tableBytes, buildMs}: LookupMeasurement): string {
	return formatTable({
		columns: [`look-up, ${clientBlocks} blocks`, 'measured', 'target', ''],
		rows: [
			['HTTP look-ups/s', Math.round(http.perSecond), `>= ${LEAST_LOOK_UPS_PER_SECOND}`, describeResult(http.perSecond >= LEAST_LOOK_UPS_PER_SECOND)],
			['HTTP look-ups/s of one core', Math.round(perCoreSecond), `>= ${LEAST_LOOK_UPS_PER_SECOND}`, describeResult(perCoreSecond >= LEAST_LOOK_UPS_PER_SECOND)],
			['HTTP p50 ms', http.p50Ms.toFixed(2), '', ''],
			['HTTP p99 ms', http.p99Ms.toFixed(2), '', ''],
			['failed', http.failed, '0', describeResult(http.failed === 0)],
			['table alone, look-ups/s', Math.round(purePerSecond), '', ''],
			['table MB', (tableBytes / BYTES_PER_MEGABYTE).toFixed(2), `< ${MOST_TABLE_BYTES / BYTES_PER_MEGABYTE}`, describeResult(tableBytes < MOST_TABLE_BYTES)],
			['table build ms', Math.round(buildMs), '', ''],
		],
	});
}

/** Renders the start of a gateway beside that of a process that does nothing. */
export function formatStart({rounds, gateway, bare, isMet}: StartMeasurement): string {
	const megabytes = (bytes: number): string => (bytes / BYTES_PER_MEGABYTE).toFixed(1);
	return formatTable({
		columns: [`start, medians of ${rounds}`, 'gateway', 'bare Node', 'target', ''],
		rows: [
			['ms of a core until ready', Math.round(gateway.cpuMs), Math.round(bare.cpuMs), `<= ${MOST_START_CPU_MS}`, describeResult(isMet)],
			['ms of a core in the second after', Math.round(gateway.settlingCpuMs), Math.round(bare.settlingCpuMs), '', ''],
			['MB when ready', megabytes(gateway.residentBytes), megabytes(bare.residentBytes), '', ''],
		],
	});
}

function describeResult(isMet: boolean): string {
	return isMet ? 'met' : 'MISSED';
}
