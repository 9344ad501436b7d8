/** Guards against requests that a gateway passes on in a planned stop and never answers. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {
	configuration, endpointOf, HOST, isReady, PipeliningCaller, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';

const CALLERS = 8;
const SHUTDOWN_SECONDS = 6;
const LONG_TIMEOUT_SECONDS = 20;
const MILLISECONDS_PER_SECOND = 1000;

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
