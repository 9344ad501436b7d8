/** `npm run experiment:placement [-- SEED [uneven] [LOAD…]]`: plays placements at several loads; prints a table, writes it and a plot to `results/`. */
import {mkdir, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {formatTable} from '@pomelopick/core.table';
import {createLeastInFlight, createOneServer, createTwoServers} from './baselines.js';
import {worthOf} from './figures.js';
import type {PlayFigures} from './figures.js';
import {createObjectPolicy} from './object-policy.js';
import {play} from './play.js';
import type {CreatePolicy} from './policy.js';
import {renderPlot} from './render-plot.js';
import type {PlotRow} from './render-plot.js';
import {
	createUnevenWorld, UNEVEN_COUNTED_FROM_MS, UNEVEN_DURATION_MS, UNEVEN_LOADS,
} from './uneven-world.js';
import type {World} from './world.js';
import {
	createHouseWorld, DEFAULT_LOADS, DURATION_MS, LEARNING_MS,
} from './house-world.js';

const RESULTS_DIRECTORY = 'results';
const DEFAULT_SEED = '1';
const BAD_ARGUMENTS_EXIT_CODE = 2;
const PERCENT = 100;

const policies: Readonly<Record<string, CreatePolicy>> = {
	'least in flight': createLeastInFlight,
	'two servers an object': createTwoServers,
	'one server an object': createOneServer,
	'the product\'s': createObjectPolicy,
};

/** A deployment to play, and which part of a play is counted. */
interface PlayedWorld {
	readonly create: (load: number) => World;
	readonly loads: readonly number[];
	readonly durationMs: number;
	readonly countedFromMs: number;
}

const worlds: Readonly<Record<'house' | 'uneven', PlayedWorld>> = {
	house: {
		create: createHouseWorld, loads: DEFAULT_LOADS, durationMs: DURATION_MS, countedFromMs: LEARNING_MS,
	},
	uneven: {
		create: createUnevenWorld, loads: UNEVEN_LOADS, durationMs: UNEVEN_DURATION_MS, countedFromMs: UNEVEN_COUNTED_FROM_MS,
	},
};

const [seedText = DEFAULT_SEED, ...furtherTexts] = process.argv.slice(2);
const seed = Number(seedText);
const worldName = furtherTexts[0] === 'uneven' ? 'uneven' : 'house';
const world = worlds[worldName];
const loadTexts = furtherTexts.slice(worldName === 'uneven' ? 1 : 0);
const loads = loadTexts.length > 0 ? loadTexts.map(Number) : world.loads;
const percent = (share: number): string => (share * PERCENT).toFixed(1);

function listCells(figures: PlayFigures): ReadonlyArray<string | number> {
	const {requests, shares, sharesByRegion, medianMs, coldShare, shedShare, busiest, peakRegionLoad, maxShift} = figures;
	return [
		requests,
		percent(shares['in-target']),
		percent(shares.late),
		percent(shares.refused),
		percent(shares.failed),
		Math.round(medianMs),
		percent(coldShare),
		percent(shedShare),
		busiest.toFixed(2),
		percent(Math.min(...[...sharesByRegion.values()].map(region => region['in-target'] + region.late))),
		peakRegionLoad.toFixed(2),
		maxShift.toFixed(3),
		worthOf(figures).toFixed(3),
	];
}

async function compare(): Promise<void> {
	const rows: PlotRow[] = loads.flatMap(load => Object.entries(policies).map(([policy, createPolicy]) => ({
		policy, load, figures: play({
			world: world.create(load), createPolicy, seed, durationMs: world.durationMs, countedFromMs: world.countedFromMs,
		}),
	})));
	process.stdout.write(`seed ${seed}; load: work of all requests with their objects in memory, over the slots\n${formatTable({
		columns: ['load', 'placement', 'requests', 'in target %', 'late %', 'refused %', 'failed %', 'median ms', 'cold runs %', 'shed %', 'busiest', 'worst region %', 'peak load', 'shift', 'worth'],
		rows: rows.map(({policy, load, figures}) => [load, policy, ...listCells(figures)]),
	})}\n`);
	await mkdir(RESULTS_DIRECTORY, {recursive: true});
	await writeFile(`${RESULTS_DIRECTORY}/placement-${worldName}-${seed}.json`, `${JSON.stringify(rows, undefined, '\t')}\n`);
	await writeFile(`${RESULTS_DIRECTORY}/placement-${worldName}-${seed}.svg`, renderPlot({rows, title: `requests answered in their target latency, seed ${seed}`}));
}

if (Number.isSafeInteger(seed) && loads.every(load => load > 0)) {
	await compare();
} else {
	process.stderr.write(`expected a seed and loads above 0, found ${JSON.stringify(process.argv.slice(2))}\n`);
	process.exitCode = BAD_ARGUMENTS_EXIT_CODE;
}
