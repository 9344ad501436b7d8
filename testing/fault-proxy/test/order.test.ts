import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {buffer} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {PathFaults} from '@pomelopick/testing.fault-proxy';

const SEED = 64_003;
const CHUNKS = 3000;

const cases: ReadonlyArray<{readonly name: string; readonly faults: ReadonlyArray<Partial<PathFaults>>}> = [
	{name: 'varying delay', faults: [{delayMs: 2, jitterMs: 6}]},
	{name: 'a delay switched on and off', faults: [{delayMs: 3, jitterMs: 1}, {delayMs: 0, jitterMs: 0}]},
	{name: 'a bandwidth limit switched on and off', faults: [{bytesPerSecond: 400_000}, {bytesPerSecond: 0}]},
	{name: 'a freeze switched on and off', faults: [{frozen: true, delayMs: 1}, {frozen: false, delayMs: 0}]},
];

describe(`bytes sent through the fault proxy, seed ${SEED}`, () => {
	for (const {name, faults} of cases) {
		it(`keep their order under ${name}`, async () => {
			const server = createServer().listen(0, '127.0.0.1');
			await once(server, 'listening');
			const proxy = await startFaultProxy({target: {address: '127.0.0.1', port: (server.address() as AddressInfo).port}, seed: SEED});
			const accepted = once(server, 'connection');
			const client = connect(proxy.endpoint.port, proxy.endpoint.address);
			client.setNoDelay(true);
			const [socket] = await accepted as [Parameters<typeof buffer>[0]];
			const received = buffer(socket);
			const expected: string[] = [];
			for (let index = 0; index < CHUNKS; index += 1) {
				proxy.set(faults[Math.floor(index / 100) % faults.length]!);
				const chunk = `${index};`;
				expected.push(chunk);
				client.write(chunk);
				await nextTurn();
			}

			proxy.set({frozen: false});
			client.end();
			const text = new TextDecoder().decode(await received);
			client.destroy();
			await proxy.stop();
			server.close();
			assert.equal(text, expected.join(''));
		});
	}
});
