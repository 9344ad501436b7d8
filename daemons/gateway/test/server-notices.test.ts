import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {callGateway, startGatewayFleet, until} from '@pomelopick/testing.gateway-fleet';
import type {
	CallerResponse, GatewayFleet, Play, RegisteredServer,
} from '@pomelopick/testing.gateway-fleet';
import {startReadyGateway} from './fixture.js';
import type {LoggedGateway} from './fixture.js';

const PAUSE_MS = 1500;
const LONG_PAUSE_MS = 60_000;
/** Time of the first start of all servers of a fleet, in milliseconds. */
const FIRST_START_MS = 1000;

describe('notices of backend servers', () => {
	let fleet: GatewayFleet;
	let gateway: LoggedGateway;
	before(async () => {
		fleet = await startGatewayFleet({servers: ['north-a', 'north-a', 'north-a', 'north-a', 'north-a']});
		gateway = await startReadyGateway(await fleet.settings());
		await until(() => gateway.lines.filter(({event}) => event === 'server-changed').length === fleet.servers.length);
	});
	after(async () => {
		await gateway.stop();
		await fleet.stop();
	});

	const call = async (object: string, plays: readonly Play[] = ['whole']): Promise<CallerResponse> => callGateway({endpoint: gateway.endpoints.callers, object, plays});
	const serverOf = async (object: string): Promise<RegisteredServer> => {
		const response = await call(object);
		const {server} = JSON.parse(response.text) as {server: string};
		return fleet.servers.find(({name}) => name === server)!;
	};

	let starts = 0;
	/** Registers a server with its last start time, or as restarted. */
	const register = (server: RegisteredServer, {isNewStart}: {readonly isNewStart: boolean}): void => {
		starts += isNewStart ? 1 : 0;
		startOf.set(server, isNewStart ? FIRST_START_MS + starts : startOf.get(server) ?? FIRST_START_MS);
		fleet.register({server, failureDomain: 'north-a', startedAtMs: startOf.get(server)});
	};

	const startOf = new Map<RegisteredServer, number>();
	const countArrivals = ({name}: RegisteredServer): number => fleet.records.arrivalLog.filter(({server}) => server === name).length;
	/** How often the gateway logged that a server leaves; other cases may have caused such lines for the same server. */
	const countLeavings = ({name}: RegisteredServer): number => gateway.lines.filter(({event, subject}) => event === 'server-leaves' && subject === name).length;
	const isServedBy = async ({object, server}: {readonly object: string; readonly server: RegisteredServer}): Promise<boolean> => {
		const {name} = await serverOf(object);
		return name === server.name;
	};

	const callOften = async (object: string): Promise<ReadonlySet<number>> => {
		const responses = await Promise.all(Array.from({length: 30}, async () => call(object)));
		return new Set(responses.map(({status}) => status));
	};

	const responses: ReadonlyArray<{name: string; play: Play}> = [
		{name: 'a success', play: 'whole'},
		{name: 'a failure', play: 'failure'},
		{name: 'a refusal', play: 'shed'},
		{name: 'a truncated response', play: 'cut'},
	];
	const playLeaving = async ({name, play}: {readonly name: string; readonly play: Play}): Promise<void> => {
		const server = await serverOf(name);
		const leavingsBefore = countLeavings(server);
		server.setLeaving(true);
		await call(name, [play, 'whole']);
		const before = countArrivals(server);
		register(server, {isNewStart: false});
		assert.deepEqual(await callOften(name), new Set([200]));
		assert.equal(countArrivals(server), before);
		assert.equal(countLeavings(server), leavingsBefore + 1);
		server.setLeaving(false);
		register(server, {isNewStart: true});
		await until(async () => isServedBy({object: name, server}));
	};

	for (const response of responses) {
		it(`stop all further requests to a server that announces its leaving in ${response.name}, whatever the store says`, async () => playLeaving(response));
	}

	it('stop all further requests to a server that announces its leaving in a health check', async () => {
		const server = await serverOf('health');
		const leavingsBefore = countLeavings(server);
		server.setLeaving(true);
		const response = await call('health', ['reset', 'whole']);
		assert.equal(response.status, 200);
		assert.equal(response.headers['server-leaving'], undefined, 'no response to a request announced it');
		await until(() => countLeavings(server) > leavingsBefore);
		server.setLeaving(false);
		register(server, {isNewStart: true});
		await until(async () => isServedBy({object: 'health', server}));
	});

	it('stop requests to a server that requested a pause, until the pause ends', async () => {
		const server = await serverOf('pause');
		server.requestPause(PAUSE_MS);
		const asked = await call('pause');
		assert.equal(asked.status, 200, 'the next server in rank is used');
		const before = countArrivals(server);
		assert.deepEqual(await callOften('pause'), new Set([200]));
		assert.equal(countArrivals(server), before);
		await until(async () => isServedBy({object: 'pause', server}));
	});

	it('make callers retry after the pause when all servers request one', async () => {
		for (const server of fleet.servers) {
			server.requestPause(LONG_PAUSE_MS);
		}

		const refusals: CallerResponse[] = [];
		await until(async () => {
			refusals.push(await call(`all-${refusals.length}`));
			return gateway.lines.some(({reason}) => reason === 'backend-paused');
		});
		const arrivals = fleet.records.arrivalLog.length;
		const last = await call('after');
		assert.equal(last.status, 503);
		assert.ok(Number(last.headers['retry-after']) > LONG_PAUSE_MS / 2000, String(last.headers['retry-after']));
		assert.equal(fleet.records.arrivalLog.length, arrivals);
		assert.ok(refusals.every(({status}) => status === 503));
	});
});
