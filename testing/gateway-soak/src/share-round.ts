/** A round in which organisations share a service that is short of capacity: gateway processes, and servers with slots and queues. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, configuration, endpointOf, isReady, rawResponse, startGatewayFleet, startGatewayProcess, startRawServer, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayProcess, RawRequest, RawServer} from '@pomelopick/testing.gateway-fleet';
import type {OrganisationCall} from './fair-share-check.js';

const SERVERS = 3;
/** Slots of each server. */
const SLOTS = 4;
/** Time for which a request occupies a slot, in milliseconds. */
const WORK_MS = 100;
const OBJECTS = 300;
const MILLISECONDS_PER_SECOND = 1000;
const TIME_LEFT_MS = 2000;
/** Steps by which the objects of successive requests, and of different organisations, lie apart, so that they spread over the servers. */
const OBJECT_STEP = 7;
const ORGANISATION_STEP = 31;

/** Requests per second that all servers of a round can run. */
export const SHARE_ROUND_CAPACITY = SERVERS * SLOTS * MILLISECONDS_PER_SECOND / WORK_MS;

/** An organisation that sends requests. */
export interface ShareSender {
	readonly organisation: string;
	readonly priority: number;
	/** Requests per second in each of the periods. */
	readonly rates: readonly number[];
}

/** Options of {@link runShareRound}. */
export interface RunShareRoundOptions {
	readonly senders: readonly ShareSender[];
	/** Lengths of the periods, in milliseconds. */
	readonly periodsMs: readonly number[];
	/** Whether the configuration has organisations. */
	readonly hasOrganisations: boolean;
	readonly gateways: number;
}

/** Outcome of a round. */
export interface ShareRoundResult {
	readonly calls: readonly OrganisationCall[];
	/** Monotonic time of the start, in milliseconds. */
	readonly startMs: number;
	/** Identifiers of the requests that reached a server. */
	readonly arrived: ReadonlySet<string>;
	/** Log lines of the gateways. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
	/** Metrics of the gateways at the end, as text. */
	readonly metrics: readonly string[];
}

/** Runs one round. */
export async function runShareRound(options: RunShareRoundOptions): Promise<ShareRoundResult> {
	const {senders, hasOrganisations, gateways} = options;
	const fleet = await startGatewayFleet({servers: []});
	fleet.write('op/config', {...configuration({version: 2}), ...(hasOrganisations && {tenants: listOrganisations(senders)})});
	const arrived = new Set<string>();
	const servers: RawServer[] = [];
	for (let number = 0; number < SERVERS; number += 1) {
		const server = await startSlottedServer({name: `server-${number}`, arrived});
		servers.push(server);
		fleet.register({server, failureDomain: 'north-a'});
	}

	const settings = await Promise.all(Array.from({length: gateways}, async (_, number) => fleet.settings({instance: `gateway-${number}`})));
	const processes: GatewayProcess[] = [];
	try {
		for (const own of settings) {
			processes.push(await startGatewayProcess({settings: own}));
		}

		await until(async () => {
			const ready = await Promise.all(settings.map(async own => isReady(own)));
			return ready.every(Boolean);
		});
		const startMs = performance.now();
		const endpoints = settings.map(({listen}) => endpointOf(listen.callers));
		const lists = await Promise.all(senders.map(async (sender, number) => sendAll({
			...options, sender, number, endpoints, startMs,
		})));
		const metrics = await Promise.all(settings.map(async ({listen}) => {
			const response = await fetch(`http://${listen.metrics}/metrics`);
			return response.text();
		}));
		return {
			calls: lists.flat(), startMs, arrived, lines: processes.flatMap(({lines}) => lines), metrics,
		};
	} finally {
		await Promise.all(processes.map(async gateway => gateway.stop()));
		await Promise.all(servers.map(async server => server.stop()));
		await fleet.stop();
	}
}

function listOrganisations(senders: readonly ShareSender[]): Record<string, unknown> {
	return {
		columns: ['name', 'api-keys', 'priority', 'rate-per-s', 'burst', 'home-regions'],
		rows: senders.map(({organisation, priority}) => [organisation, [keyOf(organisation)], priority, 0, 0, []]),
	};
}

function keyOf(organisation: string): string {
	return `key-${organisation}`;
}

interface SendAllOptions extends RunShareRoundOptions {
	readonly sender: ShareSender;
	/** Number of the sender. */
	readonly number: number;
	readonly endpoints: ReadonlyArray<ReturnType<typeof endpointOf>>;
	readonly startMs: number;
}

/** Sends the requests of one organisation at its rates, without waiting for responses to earlier ones. */
async function sendAll({sender: {organisation, rates}, number, senders, periodsMs, hasOrganisations, endpoints, startMs}: SendAllOptions): Promise<readonly OrganisationCall[]> {
	const calls: Array<Promise<OrganisationCall>> = [];
	let periodStartMs = startMs;
	for (const [period, rate] of rates.entries()) {
		const spacingMs = MILLISECONDS_PER_SECOND / rate;
		for (let sent = 0; sent * spacingMs < periodsMs[period]!; sent += 1) {
			await sleep(periodStartMs + ((sent + (number / senders.length)) * spacingMs) - performance.now());
			const object = ((calls.length * OBJECT_STEP) + (number * ORGANISATION_STEP)) % OBJECTS;
			calls.push(sendOne({
				organisation, hasOrganisations, object: String(object), endpoint: endpoints[(calls.length + number) % endpoints.length]!,
			}));
		}

		periodStartMs += periodsMs[period]!;
	}

	return Promise.all(calls);
}

async function sendOne({organisation, hasOrganisations, object, endpoint}: {readonly organisation: string; readonly hasOrganisations: boolean; readonly object: string; readonly endpoint: ReturnType<typeof endpointOf>}): Promise<OrganisationCall> {
	const sentAtMs = performance.now();
	const path = `/read/${object}`;
	const answer = await callGateway({
		endpoint, path, object, timeLeftMs: TIME_LEFT_MS, ...(hasOrganisations && {key: keyOf(organisation)}),
	});
	return {
		method: 'GET', path, body: '', answer, instance: `${endpoint.address}:${endpoint.port}`, organisation, sentAtMs, answeredAtMs: performance.now(), timeLeftMs: TIME_LEFT_MS,
	};
}

/** Starts a server that runs as many requests at a time as it has slots, and queues the others. */
async function startSlottedServer({name, arrived}: {readonly name: string; readonly arrived: Set<string>}): Promise<RawServer> {
	const waiting: RawRequest[] = [];
	let running = 0;
	const startNext = (): void => {
		const request = running < SLOTS ? waiting.shift() : undefined;
		if (!request) {
			return;
		}

		running += 1;
		setTimeout(() => {
			const {requestId, socket} = request;
			const load = `x-server-load: ${running},${waiting.length},${SLOTS}`;
			running -= 1;
			socket.write(rawResponse({status: '200 OK', headers: [`x-request-id: ${requestId}`, `x-server-stamp: ${name}.${requestId}`, load]}));
			startNext();
		}, WORK_MS);
	};

	return startRawServer({
		name, onRequest(request) {
			arrived.add(request.requestId);
			waiting.push(request);
			startNext();
		},
	});
}
