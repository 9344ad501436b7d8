/** Measures the processor time of bundled gateways: of a start, at rest, and of their first requests. */
import {readdirSync, readFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, configuration, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {
	FleetDomain, FleetOrganisation, GatewayFleet, GatewayProcess,
} from '@pomelopick/testing.gateway-fleet';

const MILLISECONDS_PER_SECOND = 1000;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const OK = 200;
const domains: readonly FleetDomain[] = ['north-a', 'north-b', 'south-a'];
const SERVERS = 12;
const OBJECTS = 40;
/** Step between the objects of consecutive requests, so that all instances get all objects. */
const OBJECT_STEP = 7;
const HEARTBEAT_MS = 1000;
/** Time after the start of all gateways in which they settle, and the time at rest that is measured, in milliseconds. */
const SETTLING_MS = 2000;
const REST_MS = 10_000;
/** Capacity of an instance, as the template of its settings states it. */
const capacity = {
	cores: 1, cpuShare: 0.5, linkMbps: 100, memoryMb: 256,
};
/** Their quotas are above what they send, as refused requests cost less. */
const organisations: readonly FleetOrganisation[] = Array.from({length: 8}, (_, number) => ({
	name: `organisation-${number}`, keys: [`key-${number}`], priority: number % 3, ratePerSecond: 400, burst: 400,
}));

/** What a deployment calls for. */
export interface CostCase {
	readonly hasOrganisations: boolean;
	/** Fourth value of the load header; undefined: load headers have three values. */
	readonly workTime: string | undefined;
}

/** Cases by name. */
export const costCases: ReadonlyMap<string, CostCase> = new Map([
	['plain', {hasOrganisations: false, workTime: undefined}],
	['organisations', {hasOrganisations: true, workTime: undefined}],
	['work-time', {hasOrganisations: true, workTime: '120'}],
]);

/** Options of {@link measureCost}. */
export interface MeasureCostOptions {
	readonly costCase: CostCase;
	/** Path of the bundle, which may be that of another build. */
	readonly main: string;
	readonly engineFlags: readonly string[];
	readonly gateways: number;
	/** Number of requests to each gateway, and how many of them per second. */
	readonly requests: number;
	readonly perSecond: number;
}

/** Processor time of a gateway, mean of all, in milliseconds. */
export interface CostMeasurement {
	/** Until the gateway is ready. */
	readonly startMs: number;
	/** At rest, in each second. */
	readonly restMsPerSecond: number;
	/** Of each request, including what the gateway does besides in the same time. */
	readonly requestMs: number;
	/** Number of requests without a response of status 200. */
	readonly failed: number;
}

/** Starts a fleet with gateways of one build, and measures them. */
export async function measureCost(options: MeasureCostOptions): Promise<CostMeasurement> {
	const {costCase, gateways, requests} = options;
	const fleet = await startServers(costCase);
	const heartbeats = setInterval(() => {
		sendHeartbeats(fleet);
	}, HEARTBEAT_MS);
	const running: GatewayProcess[] = [];
	try {
		const {endpoints, startMs} = await startGateways({...options, fleet, running});
		const meanMs = (): number => running.reduce((sum, {processId}) => sum + readProcessorMs(processId), 0) / gateways;
		await sleep(SETTLING_MS);
		const [settledMs, settledAtMs] = [meanMs(), performance.now()];
		await sleep(REST_MS);
		const [restedMs, restedAtMs] = [meanMs(), performance.now()];
		const failed = await sendRequests({...options, endpoints});
		const restMsPerSecond = (restedMs - settledMs) / (restedAtMs - settledAtMs) * MILLISECONDS_PER_SECOND;
		return {
			startMs, restMsPerSecond, requestMs: (meanMs() - restedMs) / requests, failed,
		};
	} finally {
		clearInterval(heartbeats);
		await Promise.all(running.map(async gateway => gateway.stop()));
		await fleet.stop();
	}
}

async function startServers({hasOrganisations, workTime}: CostCase): Promise<GatewayFleet> {
	const fleet = await startGatewayFleet({servers: Array.from({length: SERVERS}, (_, index) => domainOf(index))});
	fleet.write('op/config', configuration({version: 2, ...(hasOrganisations && {organisations})}));
	for (const server of fleet.servers) {
		server.nameWorkTime(workTime);
	}

	return fleet;
}

function sendHeartbeats(fleet: GatewayFleet): void {
	for (const [index, server] of fleet.servers.entries()) {
		fleet.register({server, failureDomain: domainOf(index)});
	}
}

interface StartGatewaysOptions extends MeasureCostOptions {
	readonly fleet: GatewayFleet;
	/** Gets the gateways. */
	readonly running: GatewayProcess[];
}

/** Starts gateways one after the other; returns their endpoints for callers, and the mean time that each took until it was ready. */
async function startGateways({fleet, running, main, engineFlags, gateways}: StartGatewaysOptions): Promise<{readonly endpoints: readonly string[]; readonly startMs: number}> {
	const endpoints: string[] = [];
	let startMs = 0;
	for (let index = 0; index < gateways; index += 1) {
		const settings = {...await fleet.settings({instance: `gateway-${index}`, failureDomain: domainOf(index)}), capacity};
		const gateway = await startGatewayProcess({settings, main, engineFlags});
		running.push(gateway);
		endpoints.push(settings.listen.callers);
		await until(async () => isReady(settings));
		startMs += readProcessorMs(gateway.processId) / gateways;
	}

	return {endpoints, startMs};
}

/** Sends each request over a connection of its own, as most callers of the users' platform do; returns the number that failed. */
async function sendRequests({endpoints, requests, perSecond, costCase}: MeasureCostOptions & {readonly endpoints: readonly string[]}): Promise<number> {
	const startMs = performance.now();
	const calls: Array<ReturnType<typeof callGateway>> = [];
	for (let index = 0; index < requests * endpoints.length; index += 1) {
		await sleep(Math.max(0, startMs + (index / endpoints.length / perSecond * MILLISECONDS_PER_SECOND) - performance.now()));
		calls.push(callGateway({
			endpoint: endpointOf(endpoints[index % endpoints.length]!),
			object: `object-${index * OBJECT_STEP % OBJECTS}`,
			key: costCase.hasOrganisations ? organisations[index % organisations.length]!.keys[0] : undefined,
		}));
	}

	const responses = await Promise.all(calls);
	return responses.filter(({status}) => status !== OK).length;
}

/** Processor time of all threads of a process, in milliseconds; Linux only. The sum in its `stat` has steps of 10 ms. */
function readProcessorMs(processId: number): number {
	const directory = `/proc/${processId}/task`;
	const times = readdirSync(directory).map(thread => Number(readFileSync(`${directory}/${thread}/schedstat`, 'utf8').split(' ')[0]));
	return times.reduce((sum, time) => sum + time, 0) / NANOSECONDS_PER_MILLISECOND;
}

function domainOf(index: number): FleetDomain {
	return domains[index % domains.length]!;
}
