/** Guards against requests that a gateway passes on in a planned stop and never answers. */
import assert from 'node:assert/strict';
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	configuration, endpointOf, HOST, isReady, PipeliningCaller, startGatewayFleet, startGatewayProcess, startServerProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess, ServerProcess} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import type {Endpoint} from '@pomelopick/core.types';

const CALLERS = 8;
const SHUTDOWN_SECONDS = 6;
const LONG_TIMEOUT_SECONDS = 20;
const MILLISECONDS_PER_SECOND = 1000;
const WORK_MS = 300;
/** Time for which servers are paused, in milliseconds; the timeout of a request and the time of a stop are longer. */
const PAUSE_MS = 1500;

describe('a gateway process in a planned stop', () => {
	let fleet: GatewayFleet;
	let settings: GatewaySettingsInput;
	let gateway: GatewayProcess;
	let callers: readonly PipeliningCaller[];

	beforeEach(async () => {
		fleet = await startGatewayFleet();
		fleet.write('op/config', configuration({
			version: 2, timeoutSeconds: 4, routes: [['long', HOST, '/long/', 'idempotent', LONG_TIMEOUT_SECONDS, LONG_TIMEOUT_SECONDS, 1, null, 1, true, [], 'ledger']],
		}));
		settings = await fleet.settings({shutdownSeconds: SHUTDOWN_SECONDS});
		gateway = await startGatewayProcess({settings});
		await until(async () => isReady(settings));
		callers = Array.from({length: CALLERS}, () => new PipeliningCaller(endpointOf(settings.listen.callers)));
	});
	afterEach(async () => {
		for (const caller of callers) {
			caller.close();
		}

		await gateway.stop();
		await fleet.stop();
	});

	/** Request ids that a server ran although no complete response reached their caller. */
	const listUnanswered = (): readonly string[] => {
		const answered = new Set(callers.flatMap(({responses}) => responses.filter(({isComplete}) => isComplete).map(({requestId}) => requestId)));
		return fleet.records.executions.map(({requestId}) => requestId).filter(requestId => !answered.has(requestId));
	};

	it('answers every request that was sent behind another on its connection and passed on', async () => {
		for (const [index, caller] of callers.entries()) {
			caller.send({requestId: `kept-${index}`});
		}

		await until(() => callers.every(({responses}) => responses.length === 1));
		gateway.signal('SIGTERM');
		await until(() => gateway.lines.some(({event}) => event === 'stopping'));
		for (const [index, caller] of callers.entries()) {
			caller.send({requestId: `first-${index}`, plays: ['slow']});
			caller.send({requestId: `second-${index}`, plays: ['slow']});
		}

		await until(() => callers.every(({endedAtMs}) => endedAtMs !== undefined));
		assert.deepEqual(listUnanswered(), []);
		assert.equal(fleet.records.executions.length, 3 * CALLERS);
	});

	it('delivers a ready response behind a request that lasts longer than the stop, which it ends as possibly run', async () => {
		for (const [index, caller] of callers.entries()) {
			caller.send({
				requestId: `first-${index}`, path: '/long/x', workMs: 2 * SHUTDOWN_SECONDS * MILLISECONDS_PER_SECOND, timeLeftMs: LONG_TIMEOUT_SECONDS * MILLISECONDS_PER_SECOND,
			});
			caller.send({requestId: `second-${index}`});
		}

		await until(() => fleet.records.executions.length === 2 * CALLERS);
		gateway.signal('SIGTERM');
		await until(() => callers.every(({endedAtMs}) => endedAtMs !== undefined));
		assert.deepEqual(callers.map(({responses}) => responses.map(({requestId, status}) => `${requestId} ${status}`)), callers.map((_, index) => [`first-${index} 502`, `second-${index} 200`]));
	});
});

describe('a gateway process in a planned stop, whose servers are paused', () => {
	const runs: string[] = [];
	const servers: ServerProcess[] = [];
	let fleet: GatewayFleet;
	let gateway: GatewayProcess;
	let endpoint: Endpoint;

	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		fleet.write('op/config', configuration({version: 2, timeoutSeconds: 4}));
		for (const name of ['server-0', 'server-1', 'server-2']) {
			const server = await startServerProcess({
				name, onRun(requestId) {
					runs.push(requestId);
				},
			});
			servers.push(server);
			fleet.register({server, failureDomain: 'north-a'});
		}

		const settings = await fleet.settings({shutdownSeconds: SHUTDOWN_SECONDS});
		gateway = await startGatewayProcess({settings});
		await until(async () => isReady(settings));
		endpoint = endpointOf(settings.listen.callers);
	});
	after(async () => {
		await gateway.stop();
		await Promise.all(servers.map(async server => server.stop()));
		await fleet.stop();
	});

	it('answers what reached them before and during the pause', async () => {
		const callers = Array.from({length: CALLERS}, () => new PipeliningCaller(endpoint));
		const send = (phase: string): void => {
			for (const [index, caller] of callers.entries()) {
				caller.send({
					requestId: `${phase}-${index}`, path: '/write/x', method: 'POST', body: 'x', workMs: WORK_MS, timeLeftMs: 4000,
				});
			}
		};

		send('before');
		await until(() => runs.length === CALLERS);
		gateway.signal('SIGTERM');
		await until(() => gateway.lines.some(({event}) => event === 'stopping'));
		for (const server of servers) {
			server.signal('SIGSTOP');
		}

		send('during');
		await sleep(PAUSE_MS);
		for (const server of servers) {
			server.signal('SIGCONT');
		}

		await until(() => callers.every(({endedAtMs}) => endedAtMs !== undefined));
		const answered = new Set(callers.flatMap(({responses}) => responses.filter(({status, isComplete}) => status === 200 && isComplete).map(({requestId}) => requestId)));
		assert.equal(new Set(runs).size, runs.length);
		assert.deepEqual(runs.filter(requestId => !answered.has(requestId)), []);
		assert.ok(runs.some(requestId => requestId.startsWith('during')));
	});
});
