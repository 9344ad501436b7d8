/** Guards against a refusal that a faulty server writes once more and that is taken for the response to a later request. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, guaranteesNotRun, rawResponse,
} from '@pomelopick/testing.gateway-fleet';
import type {CallerResponse, RawRequest} from '@pomelopick/testing.gateway-fleet';
import {startGatewayWithRawServers} from './fixture.js';
import type {GatewayWithRawServers} from './fixture.js';

const SERVERS = 3;
const REQUESTS = 60;
const AT_ONCE = 4;
/** Time after which a refusal comes again `a little later`, in milliseconds; the next request may be in flight by then. */
const REPEAT_AFTER_MS = 15;
const WORK_MS = 10;
/** Time after the last response in which servers may still write, in milliseconds. */
const SETTLE_MS = 200;

type Shape = 'in the same write' | 'a little later' | 'as the next request arrives' | 'as the next request arrives, with its response in the same write';

const shapes: readonly Shape[] = ['in the same write', 'a little later', 'as the next request arrives', 'as the next request arrives, with its response in the same write'];

interface EarlierResponse {
	readonly name: string;
	readonly status: string;
	readonly headers: readonly string[];
	readonly bearsId: boolean;
}

const earlierResponses: readonly EarlierResponse[] = [
	{
		name: 'a 503', status: '503 Full', headers: ['x-not-executed: 1'], bearsId: true,
	},
	{
		name: 'a 503 without a request id', status: '503 Full', headers: ['x-not-executed: 1'], bearsId: false,
	},
	{
		name: 'a 429 without a request id', status: '429 Later', headers: ['x-not-executed: 1'], bearsId: false,
	},
	{
		name: 'a 421 without a request id', status: '421 Other', headers: [], bearsId: false,
	},
	{
		name: 'a 200 without a request id', status: '200 OK', headers: ['x-server-stamp: earlier'], bearsId: false,
	},
];

/** What the servers of a test do, and what they ran. */
interface Scenario {
	readonly shape: Shape;
	readonly earlier: EarlierResponse;
	readonly runs: Array<{readonly requestId: string; readonly text: string}>;
}

function encodeEarlier({earlier: {status, headers, bearsId}, requestId}: {readonly earlier: EarlierResponse; readonly requestId: string}): string {
	return rawResponse({status, headers: [...headers, ...(bearsId ? [`x-request-id: ${requestId}`] : [])]});
}

/** Rejects every other request of a connection, and writes that once more in the shape of the scenario. */
function handleRequest({server, request: {requestId, socket, index}, scenario: {shape, earlier, runs}}: {readonly server: string; readonly request: RawRequest; readonly scenario: Scenario}): void {
	if (index % 2 === 0) {
		const first = rawResponse({status: '503 Full', headers: ['x-not-executed: 1', `x-request-id: ${requestId}`]});
		const again = encodeEarlier({earlier, requestId});
		socket.write(shape === 'in the same write' ? `${first}${again}` : first);
		if (shape === 'a little later') {
			setTimeout(() => socket.write(again), REPEAT_AFTER_MS);
		}

		return;
	}

	const text = `${server}.${requestId}`;
	const whole = rawResponse({status: '200 OK', headers: [`x-request-id: ${requestId}`, `x-server-stamp: ${text}`], body: text});
	const again = encodeEarlier({earlier, requestId: 'earlier'});
	runs.push({requestId, text});
	if (shape === 'as the next request arrives, with its response in the same write') {
		socket.write(`${again}${whole}`);
		return;
	}

	if (shape === 'as the next request arrives') {
		socket.write(again);
	}

	setTimeout(() => socket.write(whole), WORK_MS);
}

describe('a server that writes an earlier response once more', () => {
	let gateway: GatewayWithRawServers;
	let scenario: Scenario;

	before(async () => {
		gateway = await startGatewayWithRawServers({
			servers: SERVERS, onRequest({server, request}) {
				handleRequest({server, request, scenario});
			},
		});
	});
	after(async () => gateway.stop());

	const sendWrites = async (prefix: string): Promise<readonly CallerResponse[]> => {
		const responses: CallerResponse[] = [];
		const endpoint = endpointOf(gateway.settings.listen.callers);
		const sendSome = async (caller: number): Promise<void> => {
			for (let index = caller; index < REQUESTS; index += AT_ONCE) {
				responses.push(await callGateway({
					endpoint, method: 'POST', path: '/write/x', body: 'x', requestId: `${prefix}-${index}`, object: `object-${index}`,
				}));
			}
		};

		await Promise.all(Array.from({length: AT_ONCE}, async (_, caller) => sendSome(caller)));
		return responses;
	};

	const check = async (parts: Omit<Scenario, 'runs'>): Promise<void> => {
		const runs: Scenario['runs'] = [];
		scenario = {...parts, runs};
		const responses = await sendWrites(`${parts.earlier.name}, ${parts.shape}`);
		await sleep(SETTLE_MS);
		const falselyRefused = responses.filter(({requestId, status}) => guaranteesNotRun(status) && runs.some(run => run.requestId === requestId));
		const runTwice = runs.filter(({requestId}, index) => runs.findIndex(run => run.requestId === requestId) !== index);
		const mixed = responses.filter(({requestId, status, text}) => status === 200 && !runs.some(run => run.requestId === requestId && run.text === text));
		assert.deepEqual({falselyRefused, runTwice, mixed}, {falselyRefused: [], runTwice: [], mixed: []});
		// In the other shapes the connection may be closed before a second request is sent on it.
		assert.ok(runs.length > 0 || !parts.shape.startsWith('as the next request arrives'));
		assert.equal(responses.length, REQUESTS);
	};

	for (const shape of shapes) {
		for (const earlier of earlierResponses) {
			it(`cannot pass ${earlier.name} off as the response to a later write: ${shape}`, async () => check({shape, earlier}));
		}
	}
});
