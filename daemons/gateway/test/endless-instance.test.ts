import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {
	callGateway, configuration, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {Endpoint} from '@pomelopick/core.types';
import {readPeakMemoryKb} from './fixture.js';
import {endlessResponses, startEndlessServer} from './endless-server.js';
import type {EndlessServer} from './endless-server.js';

/** Memory of the smallest machine on which users run a gateway, in kilobytes. */
const MAX_MEMORY_KB = 250 * 1024;
const CALLERS = 8;
const RESET_AFTER_MS = 300;

describe('another instance that sends endless data in response to a request that is forwarded to it', () => {
	let fleet: GatewayFleet;
	let peer: EndlessServer;
	let gateway: GatewayProcess;
	let endpoint: Endpoint;
	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		fleet.write('op/config', configuration({version: 2, timeoutSeconds: 1}));
		peer = await startEndlessServer({resetAfterMs: RESET_AFTER_MS});
		const closed = await startEndlessServer({resetAfterMs: RESET_AFTER_MS});
		closed.stop();
		for (const name of ['closed-0', 'closed-1', 'closed-2']) {
			fleet.register({server: {name, port: closed.port}, failureDomain: 'north-a'});
		}

		const address = {address: '127.0.0.1', port: peer.port};
		fleet.write('pomelopick/instances/endless', {
			id: 'endless', failureDomain: 'north-a', region: 'north', callers: address, peers: address,
		});
		const settings = await fleet.settings();
		endpoint = endpointOf(settings.listen.callers);
		gateway = await startGatewayProcess({settings});
		await until(async () => await isReady(settings) && gateway.lines.filter(({event}) => event === 'instance-joined').length >= 2);
	});
	after(async () => {
		await gateway.stop();
		peer.stop();
		await fleet.stop();
	});

	/** Sends requests until one was forwarded, and checks the gateway. */
	const playResponse = async (kind: string): Promise<void> => {
		const path = `/read/endless/${encodeURIComponent(kind)}`;
		const forwardedBefore = peer.endlessCount();
		await until(async () => {
			await Promise.all(Array.from({length: CALLERS}, async () => callGateway({endpoint, path})));
			return peer.endlessCount() > forwardedBefore;
		});
		assert.deepEqual([gateway.errors, gateway.hasExited()], [[], false]);
		const peakKb = await readPeakMemoryKb(gateway);
		assert.ok(peakKb < MAX_MEMORY_KB, `${peakKb} kB`);
	};

	for (const kind of Object.keys(endlessResponses)) {
		it(`neither crashes a gateway nor exhausts its memory with ${kind}`, async () => playResponse(kind));
	}
});
