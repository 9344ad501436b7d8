/** Guards against deadlines that servers are given too late because connecting to them took long. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, isReady, rawResponse, startGatewayFleet, startGatewayProcess, startRawServer, startUnreachableServer, until,
} from '@pomelopick/testing.gateway-fleet';
import type {
	GatewayFleet, GatewayProcess, RawServer, UnreachableServer,
} from '@pomelopick/testing.gateway-fleet';

const REQUESTS = 4;
/** Time between two requests, so that connecting times out for few of them at the moment at which the first packet is sent again, in milliseconds. */
const SPACING_MS = 100;
/** Time after which the first server drops a request, in milliseconds. */
const DROPPED_AFTER_MS = 600;
const ACCEPTS_AFTER_MS = 1100;
/** Time for which callers wait, in milliseconds; shorter than the timeout of the route. */
const TIME_LEFT_MS = 1900;
/** Time that a server may be told beyond what is left, in milliseconds. */
const TOLERANCE_MS = 500;

describe('a server to which connecting takes a second', () => {
	let fleet: GatewayFleet;
	let dropping: RawServer;
	let answering: RawServer;
	let late: UnreachableServer;
	let gateway: GatewayProcess;
	const arrivals: Array<{readonly requestId: string; readonly timeLeftMs: number; readonly atMs: number}> = [];

	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		answering = await startRawServer({
			name: 'late', onRequest({requestId, timeLeftMs, socket}) {
				arrivals.push({requestId, timeLeftMs, atMs: Date.now()});
				socket.write(rawResponse({status: '200 OK', headers: [`x-request-id: ${requestId}`, `x-server-stamp: ${requestId}`]}));
			},
		});
		late = await startUnreachableServer({name: 'late', target: {address: '127.0.0.1', port: answering.port}});
		dropping = await startRawServer({
			name: 'dropping', onRequest({socket}) {
				fleet.register({server: late, failureDomain: 'north-a'});
				setTimeout(() => socket.resetAndDestroy(), DROPPED_AFTER_MS);
			},
		});
		fleet.register({server: dropping, failureDomain: 'north-a'});
	});
	after(async () => {
		await gateway.stop();
		await Promise.all([dropping.stop(), answering.stop(), late.stop(), fleet.stop()]);
	});

	it('is given the time that is left when the request that is sent once more is written', async () => {
		const settings = await fleet.settings();
		gateway = await startGatewayProcess({settings});
		await until(async () => isReady(settings));
		const sentAtMs = new Map<string, number>();
		setTimeout(() => {
			late.accept();
		}, ACCEPTS_AFTER_MS);
		await Promise.all(Array.from({length: REQUESTS}, async (_, index) => {
			await sleep(index * SPACING_MS);
			const requestId = `request-${index}`;
			sentAtMs.set(requestId, Date.now());
			await callGateway({endpoint: endpointOf(settings.listen.callers), requestId, timeLeftMs: TIME_LEFT_MS});
		}));
		const beyondMs = arrivals.map(({requestId, timeLeftMs, atMs}) => atMs + timeLeftMs - sentAtMs.get(requestId)! - TIME_LEFT_MS);
		assert.ok(beyondMs.length > 0, 'no request reached the server');
		assert.ok(Math.max(...beyondMs) <= TOLERANCE_MS, `deadlines ended ${beyondMs.join(', ')} ms after those of the callers`);
	});
});
