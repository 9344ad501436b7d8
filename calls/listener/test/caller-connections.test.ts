import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {describe, it} from 'node:test';
import {CallerListener} from '@pomelopick/calls.listener';
import {ServedCounters} from '@pomelopick/core.telemetry';

interface Parts {
	readonly caller: Socket;
	readonly response: ServerResponse;
}

const cases: ReadonlyArray<{name: string; end: (parts: Parts) => void; counter: string}> = [
	{
		name: 'the caller closes it', end({caller}) {
			caller.end();
		}, counter: 'callers.disconnected-unanswered',
	},
	{
		name: 'the caller resets it', end({caller}) {
			caller.resetAndDestroy();
		}, counter: 'callers.disconnected-unanswered',
	},
	{
		name: 'the instance resets it', end({response}) {
			response.socket!.resetAndDestroy();
		}, counter: 'callers.closed-unanswered',
	},
];

describe('the counter of requests that are unanswered when a connection ends', () => {
	for (const {name, end, counter} of cases) {
		it(`is ${counter} if ${name}`, async () => {
			const counts = new Map<string, number>();
			const counters = new ServedCounters();
			counters.add = (counted, count = 1) => {
				counts.set(counted, (counts.get(counted) ?? 0) + count);
			};

			const responses: ServerResponse[] = [];
			let resolveBothRead: () => void;
			const bothRead = new Promise<void>(resolve => {
				resolveBothRead = resolve;
			});
			const listener = new CallerListener({
				counters, maxCalls: 10, async route({response}) {
					responses.push(response);
					if (responses.length === 2) {
						resolveBothRead();
					}
				},
			});
			listener.server.listen(0, '127.0.0.1');
			await once(listener.server, 'listening');
			const closed = new Promise(resolve => {
				listener.server.once('connection', socket => {
					socket.once('close', resolve);
				});
			});
			const caller = connect((listener.server.address() as AddressInfo).port, '127.0.0.1');
			caller.on('error', () => {/* Expected when the instance resets the connection. */});
			caller.write('GET / HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n');
			await bothRead;
			end({caller, response: responses[0]!});
			await closed;
			caller.destroy();
			listener.server.close();
			assert.deepEqual([...counts], [[counter, 2]]);
		});
	}
});
