/** Guards against requests that reach a server in the pause that it has asked for. */
import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {callGateway, endpointOf, rawResponse} from '@pomelopick/testing.gateway-fleet';
import {startGatewayWithRawServers} from './fixture.js';

const SERVERS = 3;
const PAUSE_MS = 2500;
/** Time after the rejection in which requests may still arrive, in milliseconds, and maximum number of later ones. */
const GRACE_MS = 500;
const MAX_LATER = 2;
const SPACING_MS = 5;
/** Time that servers take to respond, in milliseconds. */
const RESPONSE_MS = 200;
const LATER_MS = 1000;
const AT_ONCE = 3;

interface Case {
	readonly name: string;
	/** Times asked for in the rejections, in order; the last one applies to all further rejections. */
	readonly retryAfter: readonly string[];
	/** Whether the rejection belongs to no request. */
	readonly isMismatched?: boolean;
	/** Whether requests are dropped, and health checks rejected without a name. */
	readonly isAskedByHealth?: boolean;
	/** Whether the store tells a second later that the server had started anew before it rejected anything. */
	readonly isNewStart?: boolean;
}

const cases: readonly Case[] = [
	{name: 'in whole seconds', retryAfter: ['3']},
	{name: 'with a fraction', retryAfter: ['2.5']},
	{name: 'with as many decimals as a floating-point number has', retryAfter: ['2.5000000000000004']},
	{name: 'of eleven days', retryAfter: ['999999']},
	{name: 'a longer one and then shorter ones', retryAfter: ['3', '0.1']},
	{name: 'in a response that bears another id', retryAfter: ['3'], isMismatched: true},
	{name: 'in a health check that it rejects', retryAfter: ['3'], isAskedByHealth: true},
	{name: 'after a start that the store tells later', retryAfter: ['3'], isNewStart: true},
];

describe('the pause that a server asks for', {concurrency: AT_ONCE}, () => {
	for (const {name, retryAfter, isMismatched = false, isAskedByHealth = false, isNewStart = false} of cases) {
		it(`keeps requests away: ${name}`, async () => {
			const arrivals: Array<{readonly server: string; readonly atMs: number}> = [];
			const gateway = await startGatewayWithRawServers({
				servers: SERVERS, onRequest({server, request: {requestId, socket}}) {
					const earlier = arrivals.filter(arrival => arrival.server === server).length;
					arrivals.push({server, atMs: performance.now()});
					if (isAskedByHealth && server === 'server-0') {
						socket.resetAndDestroy();
						return;
					}

					const id = `x-request-id: ${requestId}`;
					const response = server === 'server-0'
						? rawResponse({status: '503 Full', headers: ['x-not-executed: 1', isMismatched ? 'x-request-id: other' : id, `retry-after: ${retryAfter[earlier] ?? retryAfter.at(-1)!}`]})
						: rawResponse({status: '200 OK', headers: [id, `x-server-stamp: ${requestId}`]});
					setTimeout(() => socket.write(response), RESPONSE_MS);
				},
				healthResponse: server => isAskedByHealth && server === 'server-0' ? rawResponse({status: '503 Full', headers: ['x-not-executed: 1', `retry-after: ${retryAfter[0]!}`]}) : undefined,
			});
			if (isNewStart) {
				const startedAtMs = Date.now();
				setTimeout(() => {
					gateway.registerStart({server: 'server-0', startedAtMs});
				}, LATER_MS);
			}

			const endpoint = endpointOf(gateway.settings.listen.callers);
			const endMs = performance.now() + PAUSE_MS;
			const calls: Array<Promise<unknown>> = [];
			while (performance.now() < endMs) {
				calls.push(callGateway({endpoint, object: `object-${calls.length}`}));
				await sleep(SPACING_MS);
			}

			await Promise.all(calls);
			await gateway.stop();
			const [first, ...later] = arrivals.filter(({server}) => server === 'server-0').map(({atMs}) => atMs);
			assert.ok(first !== undefined, 'no request reached the server');
			const late = later.filter(atMs => atMs > first + GRACE_MS && atMs < first + PAUSE_MS);
			assert.ok(late.length <= MAX_LATER, `${late.length} requests in the pause`);
		});
	}
});
