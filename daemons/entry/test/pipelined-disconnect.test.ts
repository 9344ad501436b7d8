/** Guards against calls that go on for a caller that has left because they wait behind another call on its connection. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {getJson, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';

const deployment: Deployment = {
	name: 'pipelined', regions: ['north', 'south'], failureDomainsPerRegion: 1, megabitsPerSecond: 100, regionDelayMs: 0, failureDomainDelayMs: 0, clientDelayMs: 0,
	services: [{
		name: 'ledger', priority: 'interactive', servers: 2, slots: 4,
	}],
};
const CALLS = 3;
const WORK_MS = 2500;
/** Time in which servers have begun to work on calls, in milliseconds. */
const BEGIN_MS = 700;

describe('calls of a caller that sends them without waiting for responses and leaves', () => {
	let fleet: Fleet;
	before(async () => {
		fleet = await startFleet({deployment, entries: 1});
	});
	after(async () => {
		await fleet.stop();
	});

	it('are all cancelled', async () => {
		const {callers, operators} = fleet.entries[0]!.instance;
		const socket = connect(callers.port, callers.address);
		socket.write(`GET /v1/services/ledger/x?workMs=${WORK_MS} HTTP/1.1\r\nhost: entry\r\n\r\n`.repeat(CALLS));
		await sleep(BEGIN_MS);
		socket.destroy();
		await sleep(WORK_MS);
		const {counters} = await getJson<{counters: Record<string, number>}>({endpoint: operators, path: '/v1/status'});
		assert.equal(counters['refusal.caller-cancelled'], CALLS);
	});
});
