/** `npm run bench:journal`: measures the ways of running keyed calls at most once, at parts of today's full booking rate. */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {Endpoint} from '@pomelopick/core.types';
import {hebrides, startChild} from '@pomelopick/testing.fleet';
import {measure} from './measure.js';
import type {Way} from './measure.js';

const WORK_MS = 20;
const DURATION_MS = 4000;

const module = fileURLToPath(new URL('main.js', import.meta.resolve('@pomelopick/testing.platform-stand-in')));
const ledger = hebrides.services.find(({name}) => name === 'ledger')!;
const fullRate = ledger.servers * ledger.slots * 1000 / WORK_MS;
process.stdout.write(`full booking rate: ${ledger.servers} servers x ${ledger.slots} slots / ${WORK_MS} ms = ${fullRate} calls a second\n`);
const cases: ReadonlyArray<{way: Way; callsPerSecond: number; shards?: number}> = [
	{way: 'intent-per-call', callsPerSecond: 100},
	{way: 'intent-per-call', callsPerSecond: fullRate},
	{way: 'journal', callsPerSecond: 100},
	{way: 'journal', callsPerSecond: fullRate / 4},
	{way: 'journal', callsPerSecond: fullRate},
	{way: 'journal', callsPerSecond: fullRate, shards: 8},
	{way: 'memory-only', callsPerSecond: 100},
	{way: 'memory-only', callsPerSecond: fullRate},
];
const only = process.argv[2];
for (const options of cases.filter(({way}) => only === undefined || way === only)) {
	const platform = await startChild<Endpoint>({module, arguments: []});
	const measurement = await measure({...options, platform: platform.announcement, durationMs: DURATION_MS});
	process.stdout.write(`${JSON.stringify({...options, ...measurement})}\n`);
	await platform.kill();
}

process.exit();
