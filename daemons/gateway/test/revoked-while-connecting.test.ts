/** Guards against a request that is sent to a server although its key was revoked while it waited for the connection. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, configuration, endpointOf, isReady, rawResponse, startGatewayFleet, startGatewayProcess, startRawServer, startUnreachableServer, until,
} from '@pomelopick/testing.gateway-fleet';
import {first, FIRST_KEY, second} from './organisation-examples.js';

/** Time after which a request to an unreachable server waits for its connection, in milliseconds. */
const CONNECTING_MS = 400;

describe('a request that waits for a connection to its server', () => {
	it('is refused, and not sent, when its key is revoked meanwhile', async () => {
		const arrivals: string[] = [];
		const fleet = await startGatewayFleet({servers: []});
		const target = await startRawServer({
			name: 'late', onRequest({requestId, socket}) {
				arrivals.push(requestId);
				socket.write(rawResponse({status: '200 OK', headers: [`x-request-id: ${requestId}`, `x-server-stamp: ${requestId}`]}));
			},
		});
		const late = await startUnreachableServer({name: 'late', target: {address: '127.0.0.1', port: target.port}});
		fleet.write('op/config', configuration({version: 2, organisations: [first]}));
		fleet.register({server: late, failureDomain: 'north-a'});
		const settings = await fleet.settings();
		const gateway = await startGatewayProcess({settings});
		try {
			await until(async () => isReady(settings));
			const calling = callGateway({
				endpoint: endpointOf(settings.listen.callers), path: '/write/x', method: 'POST', body: 'x', key: FIRST_KEY,
			});
			await sleep(CONNECTING_MS);
			fleet.write('op/config', configuration({version: 3, organisations: [second]}));
			await until(() => gateway.lines.some(({event, subject}) => event === 'routes-in-force' && subject === '3'));
			late.accept();
			const {status} = await calling;
			assert.equal(status, 401);
			assert.deepEqual(arrivals, []);
		} finally {
			await gateway.stop();
			await Promise.all([late.stop(), target.stop(), fleet.stop()]);
		}
	});
});
