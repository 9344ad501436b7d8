/** The demo on the users' platform: gateways, a store and servers that register, with a kill, a planned stop and a store outage. */
import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	configuration, DirectoryCaller, guaranteesNotRun, isReady, regions, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {
	DirectoryCall, FleetDomain, FleetOrganisation, GatewayFleet, GatewayProcess, Play,
} from '@pomelopick/testing.gateway-fleet';
import {checkCalls, checkOrganisations} from '@pomelopick/testing.gateway-soak';
import type {CallRecord, Violation} from '@pomelopick/testing.gateway-soak';
import type {DemoResult, RunDemoOptions} from './demo.js';
import {listPercentiles} from './percentiles.js';

const domains: readonly FleetDomain[] = ['north-a', 'north-a', 'north-b', 'south-a'];
const servers: readonly FleetDomain[] = ['north-a', 'north-a', 'north-b', 'north-b', 'south-a', 'south-a'];
const plays: readonly Play[] = ['whole', 'whole', 'whole', 'whole', 'whole', 'whole', 'slow', 'shed'];
/** Organisations, which have the callers in turn. */
const organisations: readonly FleetOrganisation[] = [{name: 'first', keys: ['key-of-first']}, {name: 'second', keys: ['key-of-second'], homeRegions: ['north']}];
const periods = organisations.map(({name, keys: [key]}) => ({
	key: key!, organisation: name, fromMs: Number.NEGATIVE_INFINITY, toMs: Number.POSITIVE_INFINITY,
}));
const CALLERS = 10;
const OBJECTS = 40;
const WRITE_PERCENT = 25;
const PERCENT = 100;
const CALL_TIMEOUT_MS = 3000;
const LONGEST_PAUSE_MS = 60;
const STEP_MS = 2000;
const OUTAGE_MS = 2500;

interface Member {
	readonly directory: string;
	readonly process: GatewayProcess;
}

interface DemoCall extends DirectoryCall {
	readonly records: readonly CallRecord[];
}

/** Runs the gateways' part of the demo. */
export async function runGatewayDemo({seed, report}: RunDemoOptions): Promise<DemoResult> {
	report(`gateways on the users' platform: starting ${domains.length} gateways and ${servers.length} backend servers`);
	const fleet = await startGatewayFleet({servers});
	fleet.write('op/config', configuration({version: 2, organisations}));
	const members = await Promise.all(domains.map(async (failureDomain, number) => startMember({fleet, failureDomain, number})));
	try {
		const stopped = new AbortController();
		const calling = Promise.all(Array.from({length: CALLERS}, async (_, number) => keepCalling({
			members, number, seed, signal: stopped.signal,
		})));
		const stopExitCode = await injectFaults({fleet, members, report});
		await sleep(STEP_MS);
		stopped.abort();
		const callsOfAll = await calling;
		const calls = callsOfAll.flat();
		const judged = {calls: calls.flatMap(({records}) => records), executions: fleet.records.executions};
		return judge({calls, stopExitCode, violations: [...checkCalls(judged), ...checkOrganisations({...judged, periods, disturbances: []})]});
	} finally {
		await Promise.all(members.map(async ({process}) => process.stop()));
		await fleet.stop();
	}
}

async function startMember({fleet, failureDomain, number}: {readonly fleet: GatewayFleet; readonly failureDomain: FleetDomain; readonly number: number}): Promise<Member> {
	const settings = await fleet.settings({instance: `gateway-${number}`, failureDomain});
	const process = await startGatewayProcess({settings});
	await until(async () => isReady(settings));
	return {directory: settings.listen.directory, process};
}

async function injectFaults({fleet, members, report}: {readonly fleet: GatewayFleet; readonly members: readonly Member[]; readonly report: (line: string) => void}): Promise<number | undefined> {
	await sleep(STEP_MS);
	report('  killing gateway-0');
	members[0]!.process.signal('SIGKILL');
	await sleep(STEP_MS);
	report('  planned stop of gateway-1');
	members[1]!.process.signal('SIGTERM');
	await sleep(STEP_MS);
	report(`  store outage of ${OUTAGE_MS} ms`);
	fleet.platform.faults.outage = true;
	await sleep(OUTAGE_MS);
	fleet.platform.faults.outage = false;
	return members[1]!.process.exited;
}

interface KeepCallingOptions {
	readonly members: readonly Member[];
	readonly number: number;
	readonly seed: number;
	readonly signal: AbortSignal;
}

async function keepCalling({members, number, seed, signal}: KeepCallingOptions): Promise<readonly DemoCall[]> {
	const generator = xoroshiro128plus(seed + number);
	const draw = (below: number): number => uniformInt(generator, 0, below - 1);
	const failureDomain = domains[number % domains.length]!;
	const caller = new DirectoryCaller({
		directories: () => members.map(({directory}) => directory), region: regions[failureDomain], failureDomain, random: () => draw(PERCENT) / PERCENT,
	});
	const {keys: [key]} = organisations[number % organisations.length]!;
	const calls: DemoCall[] = [];
	while (!signal.aborted) {
		const method = draw(PERCENT) < WRITE_PERCENT ? 'POST' : 'GET';
		const path = `/${method === 'POST' ? 'write' : 'read'}/${draw(OBJECTS)}`;
		const body = method === 'POST' ? `note ${draw(1000)}` : '';
		const call = await caller.call({
			method, path, ...(body !== '' && {body}), object: path, key, plays: [plays[draw(plays.length)]!, 'whole'], timeLeftMs: CALL_TIMEOUT_MS,
		});
		calls.push({
			...call, records: call.answers.map(answer => ({
				method, path, body, answer, key,
			})),
		});
		await sleep(draw(LONGEST_PAUSE_MS));
	}

	return calls;
}

function judge({calls, stopExitCode, violations}: {readonly calls: readonly DemoCall[]; readonly stopExitCode: number | undefined; readonly violations: readonly Violation[]}): DemoResult {
	const finals = calls.map(({answers, isSilent}) => ({status: answers.at(-1)!.status, isSilent}));
	const count = (...kinds: ReadonlyArray<Violation['kind']>): number => violations.filter(({kind}) => kinds.includes(kind)).length;
	return {
		deployment: 'gateways',
		stopExitCode,
		calls: calls.length,
		answered: finals.filter(({status}) => status === 200).length,
		refused: finals.filter(({status}) => guaranteesNotRun(status)).length,
		silent: finals.filter(({isSilent}) => isSilent).length,
		failed: finals.filter(({status, isSilent}) => status !== 200 && !guaranteesNotRun(status) && !isSilent).length,
		wrongAnswers: count('wrong-answer', 'unasked', 'changed', 'wrong-server', 'key-passed-on', 'wrong-organisation', 'valid-key-refused'),
		doubleExecutions: count('ran-twice'),
		falseNotRun: count('ran-though-refused'),
		refusalsByReason: {},
		...listPercentiles(calls.map(({elapsedMs}) => elapsedMs)),
	};
}
