/** Look-ups and calls of one entry process: processor time a request, and memory against the number of client blocks. */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Agent, request} from 'undici';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import {
	popescuVlad, startChild, startFleet,
} from '@pomelopick/testing.fleet';
import type {Deployment, EntryProcess, Fleet} from '@pomelopick/testing.fleet';
import {fitSlope} from './figure.js';
import type {MeasuredSlope} from './figure.js';
import {generateSet} from './generated-set.js';
import {readCpuMs, readResidentBytes} from './measure-process.js';
import {plannedSize} from './planned-size.js';

const BLOCK_COUNTS = [0, 65_000, 130_000];
const REQUEST_COUNTS = [4000, 8000, 12_000];
const CONCURRENT_REQUESTS = 16;
const SETTLE_MS = 2000;
const CHANGES = 3;
const WARM_UP_REQUESTS = 4000;
const MICROSECONDS_PER_MILLISECOND = 1000;

const smallDeployment: Deployment = {...popescuVlad, services: popescuVlad.services.map(service => ({...service, servers: 4, slots: 16}))};

/** Memory of processes that hold no state, in bytes. */
export interface IdleProcessBytes {
	/** A Node process that does nothing. */
	readonly bare: number;
	/** One that loaded what control needs. */
	readonly controlLibraries: number;
}

/** Resident memory of processes that do nothing. */
export async function measureIdleProcesses(): Promise<IdleProcessBytes> {
	return {bare: await measureIdleProcess('bare-process.js'), controlLibraries: await measureIdleProcess('control-libraries-process.js')};
}

async function measureIdleProcess(file: string): Promise<number> {
	const child = await startChild<Record<string, never>>({module: fileURLToPath(new URL(file, import.meta.url)), arguments: []});
	await sleep(SETTLE_MS);
	const bytes = await readResidentBytes(child.processId);
	await child.kill();
	return bytes;
}

/** Measures one entry process at several sizes. */
export async function measureProcessesRole({seed}: {readonly seed: number}): Promise<readonly MeasuredSlope[]> {
	const memory: Array<{x: number; y: number}> = [];
	const memoryAfterChanges: Array<{x: number; y: number}> = [];
	const requestCosts: MeasuredSlope[] = [];
	for (const clientBlocks of BLOCK_COUNTS) {
		const fleet = await startFleet({
			deployment: smallDeployment, entries: 1, behaviour: {workMs: 1}, adjustSet: set => addBlocks({set, clientBlocks, seed}),
		});
		try {
			await sleep(SETTLE_MS);
			const entry = fleet.entries[0]!;
			memory.push({x: clientBlocks, y: await readResidentBytes(entry.child.processId)});
			await publishChanges(fleet);
			memoryAfterChanges.push({x: clientBlocks, y: await readResidentBytes(entry.child.processId)});
			if (clientBlocks === BLOCK_COUNTS.at(-1)) {
				requestCosts.push(...await measureRequests({fleet, entry}));
			}
		} finally {
			await fleet.stop();
		}
	}

	const shared = {
		role: 'configuration distribution', unit: 'bytes', variable: 'client blocks', plannedX: plannedSize.clientBlocks,
	};
	return [
		...requestCosts,
		fitSlope({...shared, quantity: 'resident memory of an entry process', points: memory}),
		fitSlope({...shared, quantity: 'resident memory after changes of client blocks', points: memoryAfterChanges}),
	];
}

/** Publishes versions that each take one client block away, so that the table is built again each time. */
async function publishChanges(fleet: Fleet): Promise<void> {
	const set = fleet.configurationSet();
	for (let change = 1; change <= CHANGES; change += 1) {
		await fleet.waitForVersion(await fleet.publish({...set, clientBlocks: set.clientBlocks?.slice(0, -change)}));
		await sleep(SETTLE_MS);
	}
}

function addBlocks({set, clientBlocks, seed}: {readonly set: ConfigurationSetInput; readonly clientBlocks: number; readonly seed: number}): ConfigurationSetInput {
	const sites = set.sites.map(({name}) => name);
	const generated = generateSet({clientBlocks, seed}).clientBlocks ?? [];
	return {...set, clientBlocks: [...(set.clientBlocks ?? []), ...generated.map(({prefix}, index) => ({prefix, site: sites[index % sites.length]!}))]};
}

async function measureRequests({entry}: {readonly fleet: Fleet; readonly entry: EntryProcess}): Promise<readonly MeasuredSlope[]> {
	const {address, port} = entry.instance.callers;
	const origin = `http://${address}:${port}`;
	const {processId} = entry.child;
	const kinds = [
		{
			role: 'look-up', quantity: 'one look-up over HTTP', path: '/v1/entries?service=corrections&client=11.7.7.7', perNode: plannedSize.lookupsPerSecond / plannedSize.nodes,
		},
		{
			role: 'call forwarding', quantity: 'one forwarded call', path: '/v1/services/corrections/x?bytes=2048', perNode: 1,
		},
	];
	const slopes: MeasuredSlope[] = [];
	for (const {role, quantity, path, perNode} of kinds) {
		await drive({url: origin + path, count: WARM_UP_REQUESTS});
		const points: Array<{x: number; y: number}> = [];
		for (const count of REQUEST_COUNTS) {
			const before = await readCpuMs(processId);
			await drive({url: origin + path, count});
			points.push({x: count, y: (await readCpuMs(processId) - before) * MICROSECONDS_PER_MILLISECOND});
		}

		const fitted = fitSlope({
			role, quantity: `${quantity}, a second's worth for one node`, unit: 'µs of a core', variable: 'requests', plannedX: perNode, points,
		});
		// What a run costs besides its requests does not come again with each second.
		slopes.push({...fitted, plannedY: fitted.line.slope * perNode});
	}

	return slopes;
}

async function drive({url, count}: {readonly url: string; readonly count: number}): Promise<void> {
	const agent = new Agent({connections: CONCURRENT_REQUESTS, pipelining: 1});
	let left = count;
	await Promise.all(Array.from({length: CONCURRENT_REQUESTS}, async () => {
		while (left > 0) {
			left -= 1;
			const response = await request(url, {dispatcher: agent});
			await response.body.dump();
		}
	}));
	await agent.destroy();
}
