import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {ListenerBinder} from '@pomelopick/core.listeners';

const anyPort = {address: '127.0.0.1', port: 0};

describe('a binder of listeners', () => {
	const servers: Server[] = [];
	const reports: string[] = [];
	const note = (kind: string) => ({listener}: {readonly listener: string}): void => {
		reports.push(`${kind} ${listener}`);
	};

	const startBinder = (): ListenerBinder => new ListenerBinder({
		observer: {
			onWaits: note('waits'), onRetry() {/* Their number depends on the time. */}, onStands: note('stands'), onError: note('error'), onRefused({code}) {
				reports.push(code);
			},
		},
	});
	const startServer = (): Server => {
		const server = createServer();
		servers.push(server);
		return server;
	};

	const takePort = async (): Promise<AddressInfo> => {
		const holder = startServer();
		holder.listen(0, '127.0.0.1');
		await once(holder, 'listening');
		return holder.address() as AddressInfo;
	};

	afterEach(() => {
		reports.length = 0;
		for (const server of servers.splice(0)) {
			server.close();
		}
	});

	it('keeps a listener that has errors after it was bound', async () => {
		const server = startServer();
		const bound = await startBinder().bind({server, listener: 'callers', endpoint: anyPort});
		assert.ok(bound.isRight());
		for (const code of ['EMFILE', 'ENFILE']) {
			server.emit('error', Object.assign(new Error(code), {code}));
		}

		assert.deepEqual(reports, ['error callers', 'error callers']);
		assert.ok(server.listening);
	});

	it('stops waiting for all listeners when one can never be bound', async () => {
		const binder = startBinder();
		const waiting = binder.bind({server: startServer(), listener: 'peers', endpoint: await takePort()});
		const refused = await binder.bind({server: startServer(), listener: 'callers', endpoint: {address: 'ff02::1', port: 0}});
		const stopped = await waiting;
		assert.equal(refused.swap().unsafeCoerce().code, 'bind-refused');
		assert.equal(stopped.swap().unsafeCoerce().code, 'bind-stopped');
	});

	it('goes on trying for an optional listener', async () => {
		const endpoint = await takePort();
		const server = startServer();
		const bound = await startBinder().bindOptional({server, listener: 'metrics', endpoint});
		assert.ok(bound.isRight());
		assert.deepEqual(reports, ['waits metrics']);
		servers[0]!.close();
		await once(server, 'listening');
		await new Promise(setImmediate);
		assert.deepEqual(reports, ['waits metrics', 'stands metrics']);
	});
});
