import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';

const listeners = ['callers', 'readiness', 'directory', 'peers', 'metrics'] as const;
const PARTIAL_MS = 50;

const heads: ReadonlyArray<{readonly name: string; readonly text: string}> = [
	...['//', 'http://[', '/%', '/?%E0%A4%A', '*', `/${'x'.repeat(8000)}`].map(target => ({
		name: `the target ${target.slice(0, 20)}`, text: `GET ${target} HTTP/1.1\r\nhost: x\r\n\r\n`,
	})),
	...['/suspicions', '/rate-limits', '/permits', '/changes'].map(target => ({
		name: `a body that breaks off for ${target}`, text: `POST ${target} HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{"`,
	})),
	{name: 'an upgrade', text: 'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n'},
	{name: 'CONNECT', text: 'CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n'},
	{name: 'bytes that are not HTTP', text: '\u0000\u0001\r\n\r\n'},
];

describe('a gateway process', () => {
	let fleet: GatewayFleet;
	let settings: GatewaySettingsInput;
	let gateway: GatewayProcess;
	beforeEach(async () => {
		fleet = await startGatewayFleet();
		settings = await fleet.settings();
		gateway = await startGatewayProcess({settings});
		await until(async () => isReady(settings));
	});
	afterEach(async () => {
		await gateway.stop();
		await fleet.stop();
	});

	const send = async ({text, listener}: {readonly text: string; readonly listener: typeof listeners[number]}): Promise<void> => {
		const {address, port} = endpointOf(settings.listen[listener]);
		const socket = connect(port, address);
		socket.on('error', () => {/* The gateway may close the connection. */});
		await Promise.race([once(socket, 'connect'), once(socket, 'close')]);
		socket.write(text);
		await sleep(PARTIAL_MS);
		socket.resetAndDestroy();
	};

	const check = async (listener: typeof listeners[number]): Promise<void> => {
		for (const {name, text} of heads) {
			await send({text, listener});
			assert.equal(gateway.hasExited(), false, `${name}: ${gateway.errors.join('')}`);
			assert.deepEqual(gateway.lines.filter(({event}) => event === 'fatal-error'), [], name);
		}

		assert.ok(await isReady(settings));
	};

	for (const listener of listeners) {
		it(`is not ended by odd requests at the listener for ${listener}`, async () => check(listener));
	}
});
