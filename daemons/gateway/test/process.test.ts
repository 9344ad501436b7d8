import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, HOST, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess, StartGatewayProcessOptions} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {readDeployedFlags} from './fixture.js';

async function statusOf(settings: GatewaySettingsInput): Promise<number> {
	const {status} = await callGateway({endpoint: endpointOf(settings.listen.callers)});
	return status;
}

const SILENT_READER_MS = 3000;
const REQUESTS_AT_ONCE = 20;
const BYTES_PER_KILOBYTE = 1024;
/** Bit of SIGHUP in the mask of caught signals in `/proc/PID/status`. */
const HANGUP_BIT = 1;
/** Maximum growth of a gateway's memory while nobody reads its output, in bytes: buffered output and a working set. */
const MAX_GROWTH_BYTES = 64 * 1024 * 1024;

describe('a gateway process', () => {
	let fleet: GatewayFleet;
	let settings: GatewaySettingsInput;
	let gateway: GatewayProcess;
	const start = async (options: Partial<StartGatewayProcessOptions> = {}): Promise<void> => {
		gateway = await startGatewayProcess({...options, settings});
		await until(async () => isReady(settings));
		await until(async () => await statusOf(settings) === 200);
	};

	beforeEach(async () => {
		fleet = await startGatewayFleet();
		settings = await fleet.settings();
	});
	afterEach(async () => {
		await gateway.stop();
		await fleet.stop();
	});

	it('finishes requests in progress after SIGTERM, is removed from the directory and is not ready', async () => {
		await start();
		const endpoint = endpointOf(settings.listen.callers);
		const slow = callGateway({
			endpoint, plays: ['slow'], method: 'POST', path: '/write/x', body: 'x',
		});
		await until(() => fleet.records.executions.some(({path}) => path === '/write/x'));
		gateway.signal('SIGTERM');
		await until(async () => !await isReady(settings));
		await until(() => fleet.platform.keyValues.read({key: 'pomelopick/instances/', recurse: true}).length === 0);
		const response = await slow;
		assert.equal(response.status, 200);
		assert.equal(await gateway.exited, 0);
		assert.deepEqual(gateway.lines.filter(({event}) => event === 'stopping' || event === 'stopped').map(({event}) => event), ['stopping', 'stopped']);
	});

	it('lists itself and other registered instances in the directory', async () => {
		await start();
		fleet.write('pomelopick/instances/other', {
			id: 'other', failureDomain: 'north-b', region: 'north', callers: {address: '10.0.0.9', port: 80},
		});
		const ask = async (): Promise<readonly string[]> => {
			const response = await fetch(`http://${settings.listen.directory}/pomelopick/resolve?name=${HOST}&region=north&zone=north-a`);
			const {addresses} = await response.json() as {readonly addresses: readonly string[]};
			return addresses;
		};

		await until(async () => {
			const named = await ask();
			return named.length === 2;
		});
		const named = await ask();
		assert.deepEqual(new Set(named), new Set(['10.0.0.9:80', settings.listen.callers]));
	});

	it('reloads its settings on SIGHUP, and keeps the previous ones when the file is invalid', async () => {
		await start();
		await gateway.writeSettings({...settings, shutdownSeconds: 2});
		gateway.signal('SIGHUP');
		await until(() => gateway.lines.some(({event}) => event === 'settings-reloaded'));
		await gateway.writeSettings({...settings, store: 'nowhere'});
		gateway.signal('SIGHUP');
		await until(() => gateway.errors.join('').includes('store: expected IP:PORT (found "nowhere")'));
		assert.equal(await statusOf(settings), 200);
	});

	it('handles signals that arrive while it starts', async () => {
		gateway = await startGatewayProcess({settings});
		// The mask contains SIGHUP once the gateway has installed its first handler.
		await until(async () => {
			const status = await readFile(`/proc/${gateway.processId}/status`, 'utf8');
			return (Number.parseInt(/SigCgt:\s+(\w+)/u.exec(status)![1]!.slice(-4), 16) & HANGUP_BIT) !== 0; // eslint-disable-line no-bitwise
		});
		gateway.signal('SIGHUP');
		await until(() => gateway.lines.some(({event}) => event === 'settings-reloaded'));
		assert.equal(gateway.hasExited(), false);
	});

	it('serves counters and a histogram on its metrics address', async () => {
		await start();
		await callGateway({endpoint: endpointOf(settings.listen.callers), path: '/none/x'});
		const response = await fetch(`http://${settings.listen.metrics}/metrics`);
		const text = await response.text();
		assert.match(text, /pomelopick_refusals_total\{reason="unknown-route"\} 1/u);
		assert.match(text, /pomelopick_duration_seconds_bucket\{le="\+Inf",what="answered-request"\} \d+/u);
		assert.match(text, /pomelopick_requests_in_progress 0/u);
	});

	it('keeps working in bounded memory when nobody reads its output', async () => {
		await start({isOutputRead: false, engineFlags: await readDeployedFlags()});
		const endpoint = endpointOf(settings.listen.callers);
		const readMemory = async (): Promise<number> => {
			const status = await readFile(`/proc/${gateway.processId}/status`, 'utf8');
			return Number(/VmRSS:\s+(\d+) kB/u.exec(status)![1]) * BYTES_PER_KILOBYTE;
		};

		const before = await readMemory();
		const endMs = Date.now() + SILENT_READER_MS;
		const statuses = new Set<number>();
		while (Date.now() < endMs) {
			const responses = await Promise.all(Array.from({length: REQUESTS_AT_ONCE}, async (_, index) => callGateway({endpoint, object: 'o'.repeat(400) + String(index)})));
			for (const {status} of responses) {
				statuses.add(status);
			}
		}

		assert.deepEqual([...statuses], [200]);
		assert.ok(await readMemory() - before < MAX_GROWTH_BYTES);
		gateway.readOutput();
	});

	it('starts without a store, responds with 503 without a configuration, and serves once the store is available', async () => {
		fleet.platform.faults.outage = true;
		gateway = await startGatewayProcess({settings});
		await until(async () => await statusOf(settings) === 503);
		assert.equal(await isReady(settings), false);
		fleet.platform.faults.outage = false;
		await until(async () => await statusOf(settings) === 200);
		await until(async () => isReady(settings));
	});

	it('keeps serving while the store is silent', async () => {
		await start();
		fleet.platform.faults.silent = true;
		await sleep(1000);
		assert.equal(await statusOf(settings), 200);
		fleet.platform.faults.silent = false;
	});

	it('refuses a request whose headers are too large with a response that says so', async () => {
		await start();
		const {address, port} = endpointOf(settings.listen.callers);
		const socket = connect(port, address);
		let text = '';
		socket.on('data', (piece: Uint8Array) => {
			text += new TextDecoder().decode(piece);
		});
		socket.write(`GET /read/x HTTP/1.1\r\nhost: ${HOST}\r\nx-request-id: large\r\nx-deadline-ms: 1000\r\nx-long: ${'a'.repeat(20_000)}\r\n\r\n`);
		await until(() => text.includes('headers-too-large'));
		socket.destroy();
		assert.match(text, /^HTTP\/1\.1 431 /u);
	});
});

const invalid: ReadonlyArray<{name: string; change: Record<string, unknown>; expected: RegExp}> = [
	{name: 'an address without a port', change: {store: '127.0.0.1'}, expected: /store: expected IP:PORT \(found "127\.0\.0\.1"\)/u},
	{name: 'a missing region', change: {region: undefined}, expected: /region: .*\(found nothing\)/u},
	{name: 'a negative time', change: {shutdownSeconds: -1}, expected: /shutdownSeconds: .*\(found -1\)/u},
];

describe('settings of a gateway', () => {
	for (const {name, change, expected} of invalid) {
		it(`with ${name} make it exit at once with an error that names the field and the value`, async () => {
			const fleet = await startGatewayFleet({servers: []});
			const gateway = await startGatewayProcess({settings: {...await fleet.settings(), ...change}});
			const code = await gateway.exited;
			await gateway.stop();
			await fleet.stop();
			assert.equal(code, 2);
			assert.match(gateway.errors.join(''), expected);
		});
	}
});
