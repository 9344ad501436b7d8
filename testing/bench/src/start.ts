/** Measures what a gateway takes from its start until it is ready and in the second after it, beside a Node process that does nothing. */
import {execFile, spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {isReady, startGatewayFleet, until} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet} from '@pomelopick/testing.gateway-fleet';
import {readCpuMs, readResidentBytes} from './capacity/measure-process.js';
import {medianOf} from './statistics.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const BUNDLE = path.join(ROOT, 'target/gateway.cjs');
const ROUNDS = 7;
/** Time after which a process that does nothing has started, in milliseconds. */
const BARE_SETTLE_MS = 500;
/** Time after which the engine has compiled anew what the start made hot, in milliseconds. */
const SETTLE_MS = 1000;

/** Most processor time from the start until a gateway is ready, in milliseconds of a full core. */
export const MOST_START_CPU_MS = 250;

/** One process at the moment it is ready. */
export interface StartedProcess {
	readonly cpuMs: number;
	readonly residentBytes: number;
	/** Processor time taken after that moment while the process settled, in milliseconds of a full core. */
	readonly settlingCpuMs: number;
}

/** Medians over the rounds. */
export interface StartMeasurement {
	readonly rounds: number;
	readonly gateway: StartedProcess;
	readonly bare: StartedProcess;
	readonly isMet: boolean;
}

/** Bundles the gateway as for the users' machines and starts it several times. */
export async function measureStart({report}: {readonly report: (line: string) => void}): Promise<StartMeasurement> {
	await promisify(execFile)(process.execPath, [path.join(ROOT, 'scripts/bundle.js')], {cwd: ROOT});
	const flags = await readFlags();
	const fleet = await startGatewayFleet();
	const gateways: StartedProcess[] = [];
	const bares: StartedProcess[] = [];
	try {
		for (let round = 0; round < ROUNDS; round += 1) {
			gateways.push(await startGateway({fleet, flags}));
			bares.push(await startBare(flags));
			report(`round ${round + 1}: gateway ${Math.round(gateways[round]!.cpuMs)} ms, bare ${Math.round(bares[round]!.cpuMs)} ms of a core`);
		}
	} finally {
		await fleet.stop();
	}

	const gateway = summarize(gateways);
	return {
		rounds: ROUNDS, gateway, bare: summarize(bares), isMet: gateway.cpuMs <= MOST_START_CPU_MS,
	};
}

function summarize(processes: readonly StartedProcess[]): StartedProcess {
	const medianBy = (read: (process: StartedProcess) => number): number => medianOf(processes.map(process => read(process)));
	return {
		cpuMs: medianBy(({cpuMs}) => cpuMs), residentBytes: medianBy(({residentBytes}) => residentBytes), settlingCpuMs: medianBy(({settlingCpuMs}) => settlingCpuMs),
	};
}

/** Flags with which the gateway runs on the users' machines. */
async function readFlags(): Promise<readonly string[]> {
	const {readGatewayFlags} = await import(path.join(ROOT, 'scripts/gateway-flags.js')) as {readGatewayFlags: (options: {root: string}) => Promise<readonly string[]>};
	return readGatewayFlags({root: ROOT});
}

async function startGateway({fleet, flags}: {readonly fleet: GatewayFleet; readonly flags: readonly string[]}): Promise<StartedProcess> {
	const directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-start-'));
	const file = path.join(directory, 'settings.json');
	const settings = await fleet.settings();
	await writeFile(file, JSON.stringify(settings));
	const started = await measureProcess({words: [...flags, BUNDLE, file], untilStarted: async () => until(async () => isReady(settings))});
	await rm(directory, {recursive: true});
	return started;
}

async function startBare(flags: readonly string[]): Promise<StartedProcess> {
	return measureProcess({words: [...flags, '--eval', 'setInterval(() => undefined, 1000)'], untilStarted: async () => sleep(BARE_SETTLE_MS)});
}

async function measureProcess({words, untilStarted}: {readonly words: readonly string[]; readonly untilStarted: () => Promise<void>}): Promise<StartedProcess> {
	const child = spawn(process.execPath, words, {stdio: 'ignore', env: {PATH: process.env.PATH}});
	const exited = new Promise(resolve => {
		child.once('exit', resolve);
	});
	try {
		await untilStarted();
		const cpuMs = await readCpuMs(child.pid!);
		const residentBytes = await readResidentBytes(child.pid!);
		await sleep(SETTLE_MS);
		return {cpuMs, residentBytes, settlingCpuMs: await readCpuMs(child.pid!) - cpuMs};
	} finally {
		child.kill('SIGKILL');
		await exited;
	}
}
