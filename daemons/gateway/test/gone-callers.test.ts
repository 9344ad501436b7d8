/** Guards against requests that are sent to a further server after their caller has disconnected. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	PipeliningCaller, startGatewayFleet, startUnreachableServer, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, SendOptions} from '@pomelopick/testing.gateway-fleet';
import {startReadyGateway} from './fixture.js';
import type {LoggedGateway} from './fixture.js';

/** Longer than connecting may take, and than a server takes to reject a request late, in milliseconds. */
const SETTLE_MS = 1600;
/** Time for which a caller waits for a connection before it disconnects, in milliseconds; less than connecting may take. */
const PATIENCE_MS = 100;

const cases: ReadonlyArray<{name: string; isReachable: boolean; request: Partial<SendOptions>; arrivals: number}> = [
	{
		name: 'a write waits for a connection', isReachable: false, request: {method: 'POST', path: '/write/x', body: 'x'}, arrivals: 0,
	},
	{
		name: 'a read waits for a connection', isReachable: false, request: {}, arrivals: 0,
	},
	{
		name: 'a write is at a server that rejects it', isReachable: true, request: {
			method: 'POST', path: '/write/x', body: 'x', plays: ['late-shed', 'whole'],
		}, arrivals: 1,
	},
	{
		name: 'a read is at a server that rejects it', isReachable: true, request: {plays: ['late-shed', 'whole']}, arrivals: 1,
	},
];

describe('a request whose caller disconnects is sent to no further server', () => {
	let fleet: GatewayFleet;
	let gateway: LoggedGateway | undefined;

	beforeEach(async () => {
		fleet = await startGatewayFleet({servers: []});
	});
	afterEach(async () => {
		await gateway?.stop();
		await fleet.stop();
	});

	const check = async ({isReachable, request, arrivals}: Omit<(typeof cases)[number], 'name'>): Promise<void> => {
		const unreachable = await startUnreachableServer({name: 'server-unreachable'});
		if (isReachable) {
			await fleet.addServer({name: 'server-0', failureDomain: 'north-a'});
			await fleet.addServer({name: 'server-1', failureDomain: 'north-a'});
		} else {
			fleet.register({server: unreachable, failureDomain: 'north-a'});
		}

		gateway = await startReadyGateway(await fleet.settings());
		const caller = new PipeliningCaller(gateway.endpoints.callers);
		caller.send({requestId: 'left', ...request});
		await (isReachable ? until(() => fleet.records.arrivalLog.length > 0) : sleep(PATIENCE_MS));
		caller.close();
		if (!isReachable) {
			await fleet.addServer({name: 'server-0', failureDomain: 'north-a'});
		}

		await until(() => gateway!.lines.some(({requestId}) => requestId === 'left'));
		await sleep(SETTLE_MS);
		await unreachable.stop();
		assert.equal(fleet.records.arrivalLog.filter(({requestId}) => requestId === 'left').length, arrivals);
	};

	for (const {name, ...testCase} of cases) {
		it(`while ${name}`, async () => check(testCase));
	}
});
