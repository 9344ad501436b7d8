import assert from 'node:assert/strict';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import type {Endpoint} from '@pomelopick/core.types';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';

type ListenerName = keyof GatewaySettingsInput['listen'];

/** A port that is taken. */
interface TakenPort {
	readonly endpoint: Endpoint;
	/** Frees the port; does nothing when it is free. */
	readonly free: () => void;
}

const HELD_MS = 2000;
const HEXADECIMAL = 16;
const INSTANCES_PREFIX = 'pomelopick/instances/';

async function startServer({address, port}: Endpoint, onConnection: (socket: Socket) => void): Promise<TakenPort> {
	const server = createServer(onConnection);
	server.listen(port, address);
	await once(server, 'listening');
	return {endpoint: server.address() as Endpoint & AddressInfo, free: () => server.close()};
}

async function takeByListener(endpoint: Endpoint): Promise<TakenPort> {
	return startServer(endpoint, socket => {
		socket.destroy();
	});
}

/** Whether other connections, also ended ones, share the port of an outgoing connection. */
async function isShared(port: number): Promise<boolean> {
	const table = await readFile('/proc/net/tcp', 'utf8');
	const local = `:${port.toString(HEXADECIMAL).toUpperCase().padStart(4, '0')}`;
	return table.split('\n').filter(line => line.trim().split(/\s+/u)[1]?.endsWith(local)).length > 1;
}

/** The operating system chooses the port, as it allows a listener on one that was chosen by the process. */
async function takeByConnection(): Promise<TakenPort> {
	const peer = await startServer({address: '127.0.0.1', port: 0}, socket => {
		socket.on('error', () => {/* The other end resets the connection. */});
	});
	const sockets: Socket[] = [];
	do {
		const socket = connect(peer.endpoint.port, peer.endpoint.address);
		await once(socket, 'connect');
		sockets.push(socket);
	} while (await isShared(sockets.at(-1)!.localPort!));

	const {localAddress, localPort} = sockets.at(-1)!;
	return {
		endpoint: {address: localAddress!, port: localPort!}, free() {
			for (const socket of sockets) {
				// A reset leaves no state that would occupy the port further.
				socket.resetAndDestroy();
			}

			peer.free();
		},
	};
}

interface PortCase {
	readonly name: string;
	readonly listener: ListenerName;
	readonly take: (endpoint: Endpoint) => Promise<TakenPort>;
	/** Whether the gateway takes requests without this listener. */
	readonly servesWithout: boolean;
}

const cases: readonly PortCase[] = [
	...(['callers', 'readiness', 'directory', 'peers', 'metrics'] as const).map(listener => ({
		name: `the port of ${listener} belongs to another process`, listener, take: takeByListener, servesWithout: listener === 'metrics',
	})),
	{
		name: 'an outgoing connection occupies the port of callers', listener: 'callers', take: takeByConnection, servesWithout: false,
	},
];

describe('a gateway process that starts while a port is in use', () => {
	let fleet: GatewayFleet;
	let settings: GatewaySettingsInput;
	let gateway: GatewayProcess;
	let taken: TakenPort | undefined;
	const waits = (): boolean => gateway.lines.some(({event}) => event === 'listener-waits');
	const isRegistered = (): boolean => fleet.platform.keyValues.read({key: INSTANCES_PREFIX, recurse: true}).length > 0;

	beforeEach(async () => {
		fleet = await startGatewayFleet();
		settings = await fleet.settings();
	});
	afterEach(async () => {
		taken?.free();
		await gateway.stop();
		await fleet.stop();
	});

	const check = async ({listener, take, servesWithout}: PortCase): Promise<void> => {
		taken = await take(endpointOf(settings.listen[listener]));
		const address = `${taken.endpoint.address}:${taken.endpoint.port}`;
		settings = {...settings, listen: {...settings.listen, [listener]: address}};
		gateway = await startGatewayProcess({settings});
		await until(() => waits() || gateway.hasExited());
		await sleep(HELD_MS);
		assert.equal(gateway.hasExited(), false, gateway.errors.join(''));
		const line = gateway.lines.find(({event}) => event === 'listener-waits');
		assert.deepEqual({listener: line!.listener, address: line!.address, reason: line!.reason}, {listener, address, reason: 'EADDRINUSE'});
		assert.equal(await isReady(settings), servesWithout);
		assert.equal(isRegistered(), servesWithout);
		taken.free();
		await until(() => gateway.lines.some(({event}) => event === 'listener-stands'));
		await until(async () => isReady(settings));
		await until(isRegistered);
		const {status} = await callGateway({endpoint: endpointOf(settings.listen.callers)});
		assert.equal(status, 200);
		const metrics = await fetch(`http://${settings.listen.metrics}/metrics`);
		assert.match(await metrics.text(), /event="listener\.retried"\} [1-9]/u);
		assert.equal(gateway.lines.filter(({event}) => event === 'listener-waits').length, 1);
	};

	for (const portCase of cases) {
		it(`waits and then serves when ${portCase.name}`, async () => check(portCase));
	}

	it('stops cleanly on SIGTERM while it waits', async () => {
		taken = await takeByListener(endpointOf(settings.listen.callers));
		gateway = await startGatewayProcess({settings});
		await until(() => waits() || gateway.hasExited());
		gateway.signal('SIGTERM');
		assert.equal(await gateway.exited, 0, gateway.errors.join(''));
		assert.equal(gateway.lines.at(-1)!.event, 'stopped');
	});

	it('names the setting when its address can never be bound, and exits with a code of its own', async () => {
		settings = {...settings, listen: {...settings.listen, directory: '[ff02::1]:80'}};
		gateway = await startGatewayProcess({settings});
		assert.equal(await gateway.exited, 2);
		assert.match(gateway.errors.join(''), /listen\.directory: expected an address to listen on \(found "\[ff02::1\]:80"\): listen EINVAL/u);
	});
});
