import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {callGateway, HOST, startGatewayFleet} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet} from '@pomelopick/testing.gateway-fleet';
import {startReadyGateway} from './fixture.js';
import type {LoggedGateway} from './fixture.js';

const CALLERS = 20;
const SETTLE_MS = 300;

/** Program of a worker thread: each caller sends a request and disconnects while the gateway's thread is blocked. */
const CALLERS_PROGRAM = `
const {connect} = require('node:net');
const {parentPort, workerData} = require('node:worker_threads');
const {address, port, host, callers, done} = workerData;
let left = 0;
const connected = Array.from({length: callers}, (_, index) => new Promise(resolve => {
	const socket = connect(port, address, () => resolve(socket));
	socket.once('close', () => {
		left += 1;
		if (left === callers) {
			Atomics.store(new Int32Array(done), 0, 1);
			Atomics.notify(new Int32Array(done), 0);
		}
	});
}));
Promise.all(connected).then(sockets => {
	parentPort.postMessage('connected');
	parentPort.once('message', () => {
		sockets.forEach((socket, index) => {
			socket.write('GET /read/x HTTP/1.1\\r\\nhost: ' + host + '\\r\\nx-request-id: gone-' + index + '\\r\\nx-affinity-key: x\\r\\nx-deadline-ms: 3000\\r\\n\\r\\n', () => socket.destroy());
		});
	});
});
`;

describe('a gateway that reads requests late', () => {
	let fleet: GatewayFleet;
	let gateway: LoggedGateway;
	before(async () => {
		fleet = await startGatewayFleet();
		gateway = await startReadyGateway(await fleet.settings());
	});
	after(async () => {
		await gateway.stop();
		await fleet.stop();
	});

	it('forwards no requests of callers that disconnected before it read them', async () => {
		const warmUp = await callGateway({endpoint: gateway.endpoints.callers});
		assert.equal(warmUp.status, 200);
		const done = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
		const {address, port} = gateway.endpoints.callers;
		const callers = new Worker(CALLERS_PROGRAM, {
			eval: true, workerData: {
				address, port, host: HOST, callers: CALLERS, done,
			},
		});
		await once(callers, 'message');
		await sleep(SETTLE_MS);
		callers.postMessage('go');
		// Blocks the thread of the gateway and the servers until every caller has disconnected.
		Atomics.wait(new Int32Array(done), 0, 0);
		await sleep(SETTLE_MS);
		const arrivals = fleet.records.arrivalLog.filter(({requestId}) => requestId.startsWith('gone-'));
		await callers.terminate();
		assert.deepEqual(arrivals, []);
	});
});
