import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import type {Endpoint} from '@pomelopick/core.types';
import {HelloService} from '@pomelopick/peer.protocol';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import {PeerClients, startPeerServer} from '@pomelopick/peer.transport';
import type {PeerServer} from '@pomelopick/peer.transport';

describe('peer transport', () => {
	let server: PeerServer;
	const clients = new PeerClients();
	before(async () => {
		server = await startPeerServer({
			endpoint: {address: '127.0.0.1', port: 0}, register(router) {
				router.service(HelloService, {hello: () => ({instance: 'one', failureDomain: 'north-1', configurationVersion: 7n})});
			},
		});
	});
	after(async () => {
		clients.close();
		await server.stop();
	});

	it('transfers a call and its response', async () => {
		const result = await clients.call({
			endpoint: server.endpoint, service: HelloService, timeoutMs: 2000, invoke: async (client, options) => client.hello({instance: 'two'}, options),
		}).run();
		assert.equal(result.map(({configurationVersion}) => configurationVersion).orDefault(0n), 7n);
	});

	it('accepts a timeout that is not a whole number', async () => {
		const result = await clients.call({
			endpoint: server.endpoint, service: HelloService, timeoutMs: 2000.4, invoke: async (client, options) => client.hello({instance: 'two'}, options),
		}).run();
		assert.equal(result.map(({instance}) => instance).orDefault('none'), 'one');
	});

	it('fails as not-sent when nothing listens', async () => {
		const result = await clients.call({
			endpoint: {address: '127.0.0.1', port: 1}, service: HelloService, timeoutMs: 2000, invoke: async (client, options) => client.hello({}, options),
		}).run();
		assert.equal(result.swap().map(({code}) => code).orDefault('refused'), 'not-sent');
	});

	it('fails as lost when the path goes silent, and recovers with a new session', async () => {
		const proxy = await startFaultProxy({target: server.endpoint, seed: 1});
		const hello = async () => clients.call({
			endpoint: proxy.endpoint, service: HelloService, timeoutMs: 300, invoke: async (client, options) => client.hello({}, options),
		}).run();
		const first = await hello();
		proxy.set({silentToClient: true});
		const second = await hello();
		proxy.set({silentToClient: false});
		const third = await hello();
		await proxy.stop();
		const code = (result: Awaited<ReturnType<typeof hello>>) => result.swap().map(error => error.code).orDefault('refused');
		assert.deepEqual([first.isRight(), code(second), third.isRight()], [true, 'lost', true]);
	});

	it('survives peers that stop during calls', async () => {
		const others = new PeerClients();
		for (let round = 0; round < 20; round += 1) {
			const stopping = await startPeerServer({
				endpoint: {address: '127.0.0.1', port: 0}, register(router) {
					router.service(HelloService, {hello: () => ({instance: 'stopping', failureDomain: 'north-1', configurationVersion: 1n})});
				},
			});
			const hello = async () => others.call({
				endpoint: stopping.endpoint, service: HelloService, timeoutMs: 500, invoke: async (client, options) => client.hello({}, options),
			}).run();
			const first = await hello();
			assert.ok(first.isRight());
			const stopped = stopping.stop();
			for (let turn = 0; turn < round; turn += 1) {
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}

			const last = await hello();
			await stopped;
			assert.ok(last.isLeft());
		}

		others.close();
	});

	it('removes peers whose sessions have ended', async () => {
		const others = new PeerClients();
		const sayHello = async (endpoint: Endpoint) => others.call({
			endpoint, service: HelloService, timeoutMs: 2000, invoke: async (client, options) => client.hello({}, options),
		}).run();
		for (let round = 0; round < 10; round += 1) {
			const stopping = await startPeerServer({
				endpoint: {address: '127.0.0.1', port: 0}, register(router) {
					router.service(HelloService, {hello: () => ({instance: 'stopping', failureDomain: 'north-1', configurationVersion: 1n})});
				},
			});
			const result = await sayHello(stopping.endpoint);
			assert.ok(result.isRight());
			await stopping.stop();
			await sayHello(stopping.endpoint);
		}

		await sayHello(server.endpoint);
		// The session to the last stopped peer may still be closing.
		assert.ok(others.connectionCount <= 2, `${others.connectionCount} sessions are kept`);
		others.close();
	});
});
