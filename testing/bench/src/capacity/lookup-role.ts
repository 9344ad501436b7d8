/** Look-up: memory and processor time against the number of client blocks. */
import {performance} from 'node:perf_hooks';
import {setImmediate as pause} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import {BlockTable} from '@pomelopick/steering.lookup';
import {fitSlope} from './figure.js';
import type {MeasuredSlope} from './figure.js';
import {generateSet} from './generated-set.js';
import {measureCpuMs} from './measure-process.js';
import {plannedSize} from './planned-size.js';

const BLOCK_COUNTS = [10_000, 40_000, 70_000, 100_000, 130_000];
const LOOKUPS = 200_000;
const ADDRESSES = 1000;
const MICROSECONDS_PER_MILLISECOND = 1000;

/** Measures the block table's size, the time to build it and the time of one search. */
export async function measureLookupRole({seed}: {readonly seed: number}): Promise<readonly MeasuredSlope[]> {
	const rows: Array<{x: number; bytes: number; buildMs: number; searchMicroseconds: number}> = [];
	for (const clientBlocks of BLOCK_COUNTS) {
		const set = checkConfigurationSet(generateSet({clientBlocks, seed})).unsafeCoerce();
		let table = BlockTable.empty;
		const buildMs = await measureCpuMs(async () => {
			table = await BlockTable.build({blocks: [...set.clientBlocks], pause});
		});
		rows.push({
			x: clientBlocks, bytes: table.byteLength, buildMs, searchMicroseconds: measureSearch({table, seed}),
		});
	}

	const shared = {role: 'look-up', variable: 'client blocks', plannedX: plannedSize.clientBlocks};
	return [
		fitSlope({
			...shared, quantity: 'block table', unit: 'bytes', points: rows.map(({x, bytes}) => ({x, y: bytes})),
		}),
		fitSlope({
			...shared, quantity: 'building the table', unit: 'ms of a core', points: rows.map(({x, buildMs}) => ({x, y: buildMs})),
		}),
		fitSlope({
			...shared, quantity: 'one search', unit: 'µs of a core', points: rows.map(({x, searchMicroseconds}) => ({x, y: searchMicroseconds})),
		}),
	];
}

function measureSearch({table, seed}: {readonly table: BlockTable; readonly seed: number}): number {
	const random = xoroshiro128plus(seed);
	const addresses = Array.from({length: ADDRESSES}, () => [11, 255, 255, 255].map((most, index) => index === 0 ? most + uniformInt(random, 0, 1) : uniformInt(random, 0, most)).join('.'));
	const startMs = performance.now();
	for (let index = 0; index < LOOKUPS; index += 1) {
		table.siteOf(addresses[index % ADDRESSES]!);
	}

	return (performance.now() - startMs) * MICROSECONDS_PER_MILLISECOND / LOOKUPS;
}
