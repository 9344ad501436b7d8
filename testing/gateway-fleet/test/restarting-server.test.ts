/** Guards against a server that restarts after its fleet was stopped, where it would keep a test from ending or fail behind its end. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {Server} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startGatewayFleet, until} from '@pomelopick/testing.gateway-fleet';

/** More than a server takes from its crash until it tries to listen again, in milliseconds. */
const RESTARTED_MS = 2000;
/** More than the time between two tries to listen, in milliseconds. */
const NEXT_TRY_MS = 500;

async function isListening(port: number): Promise<boolean> {
	const socket = connect(port, '127.0.0.1');
	try {
		await once(socket, 'connect');
		return true;
	} catch {
		return false;
	} finally {
		socket.destroy();
	}
}

async function occupy(port: number): Promise<Server> {
	await until(async () => !await isListening(port));
	const occupant = createServer().listen(port, '127.0.0.1');
	await once(occupant, 'listening');
	return occupant;
}

const cases: ReadonlyArray<{readonly name: string; readonly isStopped: boolean}> = [
	{name: 'listens again once its port is free', isStopped: false},
	{name: 'does not listen again after its fleet was stopped', isStopped: true},
];

describe('a restarting server whose port another socket takes when it crashes', () => {
	for (const {name, isStopped} of cases) {
		it(name, async () => {
			const fleet = await startGatewayFleet({servers: []});
			await fleet.addRestartingServer({name: 'server-0', failureDomain: 'north-a'});
			const {port} = fleet.servers[0]!;
			fleet.servers[0]!.crash();
			const occupant = await occupy(port);
			await sleep(RESTARTED_MS);
			if (isStopped) {
				await fleet.stop();
			}

			occupant.close();
			await sleep(NEXT_TRY_MS);
			assert.equal(await isListening(port), !isStopped);
			if (!isStopped) {
				await fleet.stop();
			}
		});
	}
});
