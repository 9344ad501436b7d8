/** Guards against a planned stop that closes a caller's connection before all responses on it were sent. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {CallerListener} from '@pomelopick/calls.listener';
import {ServedCounters} from '@pomelopick/core.telemetry';

const STOP_TIMEOUT_MS = 10_000;
/** Time for which the slow caller does not read, in milliseconds. */
const NOT_READING_MS = 1000;
/** Longer than a listener refuses requests before it closes connections, in milliseconds. */
const AFTER_CLOCK_CHANGE_MS = 600;
const CLOCK_CHANGE_MS = 3_600_000;
/** More than the buffers of both ends of a loopback connection hold, in bytes. */
const MANY_BYTES = 32 * 1024 * 1024;

/** One step of a case: the planned stop begins, a request arrives, or a request is answered. */
type Step = {readonly step: 'stop'} | {readonly step: 'request' | 'answer'; readonly id: string};

const request = (id: string): Step => ({step: 'request', id});
const answer = (id: string): Step => ({step: 'answer', id});
const stop: Step = {step: 'stop'};

interface PlannedStopCase {
	readonly name: string;
	readonly steps: readonly Step[];
	/** Requests that are run and answered, in this order. */
	readonly answered: readonly string[];
	/** The only request whose response tells the caller to close the connection. */
	readonly closing: string;
}

const cases: readonly PlannedStopCase[] = [
	{
		name: 'a second request that was sent behind the first after the stop began', steps: [stop, request('a'), request('b'), answer('a'), answer('b')], answered: ['a', 'b'], closing: 'b',
	},
	{
		name: 'a second request that was sent behind the first before the stop began', steps: [request('a'), request('b'), stop, answer('a'), answer('b')], answered: ['a', 'b'], closing: 'b',
	},
	{
		name: 'requests of which the last is answered first',
		steps: [stop, request('a'), request('b'), request('c'), answer('c'), answer('b'), answer('a')],
		answered: ['a', 'b', 'c'],
		closing: 'c',
	},
	{
		name: 'a request that arrives after the first answer of several',
		steps: [request('a'), request('b'), stop, answer('a'), request('c'), answer('b'), answer('c')],
		answered: ['a', 'b', 'c'],
		closing: 'c',
	},
	{
		name: 'a request that was in progress alone when the stop began', steps: [request('a'), stop, answer('a')], answered: ['a'], closing: 'a',
	},
	{
		name: 'a request behind one whose answer was already written to close the connection, which is not run',
		steps: [stop, request('a'), request('b'), answer('b'), request('c'), answer('a')],
		answered: ['a', 'b'],
		closing: 'b',
	},
];

function idOf(head: string): string {
	return /x-id: (\w+)/u.exec(head)![1]!;
}

describe('a planned stop of the listener', () => {
	let counters: ServedCounters;
	let listener: CallerListener;
	let caller: Socket;
	let received: string;
	let responses: Map<string, ServerResponse>;
	const countInProgress = (): number => [...responses.values()].filter(({writableEnded}) => !writableEnded).length;
	const stopListener = async (): Promise<void> => listener.stop({timeoutMs: STOP_TIMEOUT_MS, inProgress: countInProgress});

	beforeEach(async () => {
		counters = new ServedCounters();
		responses = new Map();
		received = '';
		listener = new CallerListener({
			counters, maxCalls: 10, announceMs: 0, async route({request: {headers}, response}) {
				responses.set(String(headers['x-id']), response);
			},
		});
		listener.server.listen(0, '127.0.0.1');
		await once(listener.server, 'listening');
		caller = connect((listener.server.address() as AddressInfo).port, '127.0.0.1');
		caller.on('data', (piece: Uint8Array) => {
			received += new TextDecoder('latin1').decode(piece);
		}).on('error', () => {/* A reset shows as missing answers. */});
		await once(caller, 'connect');
	});
	afterEach(async () => {
		caller.destroy();
		listener.server.closeAllConnections();
		listener.server.close();
	});

	const send = async (id: string): Promise<void> => {
		const parsed = once(listener.server, 'request');
		caller.write(`GET / HTTP/1.1\r\nhost: a\r\nx-id: ${id}\r\n\r\n`);
		await parsed;
	};

	const play = async (steps: readonly Step[]): Promise<void> => {
		let stopped: Promise<void> | undefined;
		for (const step of steps) {
			switch (step.step) {
				case 'stop': {
					stopped = stopListener();
					break;
				}

				case 'request': {
					await send(step.id);
					break;
				}

				case 'answer': {
					responses.get(step.id)!.writeHead(200, {'content-length': '0', 'x-id': step.id}).end();
					break;
				}
			}
		}

		await stopped;
	};

	const check = async ({steps, answered, closing}: PlannedStopCase): Promise<void> => {
		const closed = once(caller, 'close');
		await play(steps);
		await closed;
		const heads = received.split('\r\n\r\n').filter(Boolean);
		assert.deepEqual(heads.map(head => idOf(head)), answered);
		assert.deepEqual(heads.filter(head => /connection: close/iu.test(head)).map(head => idOf(head)), [closing]);
		assert.deepEqual([...responses.keys()], answered);
	};

	for (const testCase of cases) {
		it(`answers ${testCase.name}`, async () => check(testCase));
	}

	it('answers a request in progress although the wall clock is set forward', async () => {
		const closed = once(caller, 'close');
		await send('a');
		const stopped = stopListener();
		const clock = mock.method(Date, 'now', () => performance.timeOrigin + performance.now() + CLOCK_CHANGE_MS);
		await sleep(AFTER_CLOCK_CHANGE_MS);
		responses.get('a')!.end();
		await closed;
		await stopped;
		clock.mock.restore();
		assert.match(received, /^HTTP\/1.1 200 /u);
	});

	it('sends a complete answer to a caller that reads slowly', async () => {
		const closed = once(caller, 'close');
		caller.pause();
		await send('large');
		const stopped = stopListener();
		responses.get('large')!.writeHead(200, {'content-length': String(MANY_BYTES)}).end(new Uint8Array(MANY_BYTES));
		let hasRead = false;
		setTimeout(() => {
			hasRead = true;
			caller.resume();
		}, NOT_READING_MS);
		await closed;
		await stopped;
		assert.ok(hasRead);
		assert.equal(received.length - received.indexOf('\r\n\r\n') - 4, MANY_BYTES);
	});
});
