/** Compares strategies for a region's view: `node testing/bench/lib/strategies-main.js`. Prints a Markdown table. */
import process from 'node:process';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {formatNumber, renderTable} from './capacity/report.js';
import {drawRegion, failureClasses, instanceDownPart} from './strategies/failure-states.js';
import {viewStrategies} from './strategies/view-strategies.js';
import type {Operation} from './strategies/view-strategies.js';

const SEED = 1;
const SAMPLES = 20_000;
const PERCENT = 100;
const MINUTES_PER_YEAR = 525_600;

const random = xoroshiro128plus(SEED);
const samples = failureClasses.map(({partOfYear, lostInstances}) => ({
	partOfYear, states: Array.from({length: SAMPLES}, () => drawRegion({lostInstances, random})),
}));

function failedMinutes({succeeds}: Operation): string {
	const parts = samples.map(({partOfYear, states}) => partOfYear * states.filter(state => !succeeds(state)).length / SAMPLES);
	return formatNumber(parts.reduce((sum, part) => sum + part, 0) * MINUTES_PER_YEAR);
}

const [example] = samples[0]!.states;
const rows = viewStrategies.map(({name, read, write}) => [name, String(read.messages(example!)), failedMinutes(read), String(write.messages(example!)), failedMinutes(write)]);
process.stdout.write(`seed ${SEED}, ${SAMPLES} states of each kind; an instance is down ${formatNumber(instanceDownPart * PERCENT)} % of the time\n\n`);
process.stdout.write(`${renderTable({header: ['strategy', 'requests a read', 'read fails, min a year', 'requests a write', 'write fails, min a year'], rows})}\n`);
