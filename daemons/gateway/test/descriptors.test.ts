import assert from 'node:assert/strict';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {describe, it} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';

/** More than loading the program's modules takes. */
const MAX_OPEN_FILES = 200;
const CONNECTIONS = 400;
/** Time for which descriptors are used up: several calls of the store, heartbeats and checks of the settings file fall into it. */
const EXHAUSTED_MS = 4000;

const listeners: ReadonlyArray<keyof GatewaySettingsInput['listen']> = ['callers', 'peers', 'readiness'];

describe('a gateway process whose descriptors are used up', () => {
	const check = async ({listener, t}: {readonly listener: keyof GatewaySettingsInput['listen']; readonly t: TestContext}): Promise<void> => {
		const fleet = await startGatewayFleet();
		const settings = await fleet.settings();
		const gateway = await startGatewayProcess({settings, maxOpenFiles: MAX_OPEN_FILES});
		t.after(async () => {
			await gateway.stop();
			await fleet.stop();
		});
		await until(async () => gateway.hasExited() || isReady(settings));
		const {address, port} = endpointOf(settings.listen[listener]);
		const sockets: Socket[] = [];
		const open = (): void => {
			const socket = connect(port, address);
			socket.on('error', () => {/* The gateway closes what it cannot accept. */});
			sockets.push(socket);
		};

		for (let index = 0; index < CONNECTIONS; index += 1) {
			open();
		}

		gateway.signal('SIGHUP');
		await sleep(EXHAUSTED_MS);
		assert.equal(gateway.hasExited(), false, gateway.errors.join(''));
		for (const socket of sockets) {
			socket.destroy();
		}

		await until(async () => isReady(settings));
		await until(async () => {
			const {status} = await callGateway({endpoint: endpointOf(settings.listen.callers)});
			return status === 200;
		});
		gateway.signal('SIGTERM');
		assert.equal(await gateway.exited, 0);
		assert.ok(!gateway.lines.some(({event}) => event === 'fatal-error'));
	};

	for (const listener of listeners) {
		it(`goes on, and serves once they are free, by connections to ${listener}`, async t => check({listener, t}));
	}
});
