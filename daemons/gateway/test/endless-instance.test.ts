import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {callGateway, until} from '@pomelopick/testing.gateway-fleet';
import {readPeakMemoryKb, startGatewayBesideInstance} from './fixture.js';
import type {GatewayBesideInstance} from './fixture.js';
import {endlessResponses, startEndlessServer} from './endless-server.js';
import type {EndlessServer} from './endless-server.js';

/** Memory of the smallest machine on which users run a gateway, in kilobytes. */
const MAX_MEMORY_KB = 250 * 1024;
const CALLERS = 8;
const RESET_AFTER_MS = 300;

describe('another instance that sends endless data in response to a request that is forwarded to it', () => {
	let peer: EndlessServer;
	let beside: GatewayBesideInstance;
	before(async () => {
		peer = await startEndlessServer({resetAfterMs: RESET_AFTER_MS});
		beside = await startGatewayBesideInstance({port: peer.port});
	});
	after(async () => {
		await beside.stop();
		peer.stop();
	});

	/** Sends requests until one was forwarded, and checks the gateway. */
	const playResponse = async (kind: string): Promise<void> => {
		const {gateway, endpoint} = beside;
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
