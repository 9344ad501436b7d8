/** Guards against headers of a request that do not reach the backend server because they are repeated or have an unusual name. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	endpointOf, HOST, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import {startRecordingServer} from './recording-server.js';
import type {RecordingServer} from './recording-server.js';

const names = [
	'accept', 'authorization', 'content-type', 'cookie', 'etag', 'from', 'if-modified-since', 'max-forwards', 'referer', 'user-agent', 'x-other', '__proto__', 'constructor', 'hasOwnProperty',
];
const counts = [1, 2, 3];

describe('a header of a request', () => {
	let fleet: GatewayFleet;
	let server: RecordingServer;
	let settings: GatewaySettingsInput;
	let gateway: GatewayProcess;
	before(async () => {
		fleet = await startGatewayFleet({servers: []});
		server = await startRecordingServer('recording');
		fleet.register({server, failureDomain: 'north-a'});
		settings = await fleet.settings();
		gateway = await startGatewayProcess({settings});
		await until(async () => await isReady(settings) && gateway.lines.some(({event}) => event === 'server-changed'));
	});
	after(async () => {
		await gateway.stop();
		await server.stop();
		await fleet.stop();
	});

	const send = async ({id, lines}: {readonly id: string; readonly lines: readonly string[]}): Promise<string> => {
		const {address, port} = endpointOf(settings.listen.callers);
		const socket = connect({host: address, port});
		let received = '';
		socket.setEncoding('latin1').on('data', (piece: string) => {
			received += piece;
		});
		socket.write(['GET /read/x HTTP/1.1', `host: ${HOST}`, 'connection: close', `x-request-id: ${id}`, 'x-deadline-ms: 3000', ...lines, '', ''].join('\r\n'));
		await once(socket, 'close');
		return received;
	};

	const check = async ({name, count}: {readonly name: string; readonly count: number}): Promise<void> => {
		const id = `${name}-${count}`;
		const values = Array.from({length: count}, (_, index) => `value-${index}`);
		const received = await send({id, lines: values.map(value => `${name}: ${value}`)});
		assert.match(received, /^HTTP\/1\.1 200 /u);
		const [request] = server.requests.get(id)!;
		assert.deepEqual(request!.rawHeaders.filter((_, position) => position % 2 === 1 && request!.rawHeaders[position - 1]!.toLowerCase() === name.toLowerCase()), values);
	};

	for (const name of names) {
		for (const count of counts) {
			it(`arrives with each of its values: ${name}, ${count} times`, async () => check({name, count}));
		}
	}

	it('is refused when it names a second host', async () => {
		const received = await send({id: 'second-host', lines: ['Host: other.example']});
		assert.match(received, /^HTTP\/1\.1 400 /u);
		assert.equal(server.requests.has('second-host'), false);
	});
});
