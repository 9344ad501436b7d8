import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {Counters} from '@pomelopick/core.telemetry';

interface Received {
	readonly metrics: readonly string[];
	readonly datagrams: number;
}

/** Runs `work` with counters that send to a socket of this process, closes the counters and returns what the socket received. */
async function receive({expected, work}: {readonly expected: number; readonly work: (counters: Counters) => void}): Promise<Received> {
	const socket = createSocket('udp4');
	const metrics: string[] = [];
	let datagrams = 0;
	socket.on('message', message => {
		datagrams += 1;
		metrics.push(...message.toString().split('\n').filter(line => line !== ''));
		if (metrics.length >= expected) {
			socket.emit('complete');
		}
	});
	socket.bind(0, '127.0.0.1');
	await once(socket, 'listening');
	const complete = once(socket, 'complete');
	const counters = new Counters({target: {host: '127.0.0.1', port: socket.address().port}, tags: {instance: 'entry-1'}});
	work(counters);
	await counters.close();
	await complete;
	socket.close();
	return {metrics, datagrams};
}

describe('Counters', () => {
	const cases: ReadonlyArray<{name: string; work: (counters: Counters) => void; expected: string[]}> = [
		{
			name: 'sends the buffered metrics when it is closed',
			work(counters) {
				counters.refused('queue-full');
			},
			expected: ['pomelopick.refusal.queue-full:1|c|#instance:entry-1'],
		},
		{
			name: 'sends each of many metrics once',
			work(counters) {
				for (let count = 1; count <= 100; count += 1) {
					counters.add('many', count);
				}
			},
			expected: Array.from({length: 100}, (_, index) => `pomelopick.many:${index + 1}|c|#instance:entry-1`),
		},
	];
	for (const {name, work, expected} of cases) {
		it(name, async () => {
			const {metrics, datagrams} = await receive({expected: expected.length, work});
			assert.deepEqual([...metrics].sort(), [...expected].sort());
			assert.ok(datagrams < expected.length || expected.length === 1, `${datagrams} datagrams`);
		});
	}
});
