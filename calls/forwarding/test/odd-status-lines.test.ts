/** Guards against what is no HTTP/1 response, has no HTTP status code (RFC 9110, section 15) or a field name that is no token (section 5.1), and reaches a caller of the entry daemon. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {request} from 'undici';
import {startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';
import {malformedFields} from '@pomelopick/testing.gateway-fleet';
import {startScriptedServer} from './scripted-server.js';
import type {ScriptedServer} from './scripted-server.js';

const BODY = 'odd';
const GOOD = 'HTTP/1.1 200 OK';
/** Interim responses, each before a final one. 101 is none: it ends HTTP on its connection. */
const interim: readonly string[] = [100, 102, 103, 104, 105, 150, 198, 199].map(status => `HTTP/1.1 ${status} X`);
const lines: ReadonlyArray<{line: string; expected: number; before?: readonly string[]}> = [
	...['000', '001', '050', '099', '20', '2000', '101 Switching Protocols', '600', '601', '700', '999'].map(status => ({line: `HTTP/1.1 ${status} X`, expected: 502})),
	...['HTTP/2.0 200 OK', 'HTTP/0.9 200 OK', 'HTTP/1.1', '200 OK'].map(line => ({line, expected: 502})),
	...malformedFields.map(field => ({line: `${GOOD}\r\n${field}`, expected: 502})),
	{line: GOOD, expected: 200},
	{line: 'HTTP/1.0 200 OK', expected: 200},
	{line: 'HTTP/1.1 599 X', expected: 599},
	...interim.map(line => ({line: GOOD, expected: 200, before: [line]})),
	{line: 'HTTP/1.1 599 X', expected: 599, before: interim.slice(1)},
	...['099', '101', '600'].map(status => ({line: `HTTP/1.1 ${status} X`, expected: 502, before: ['HTTP/1.1 103 Early Hints']})),
];

/** Numbers of the services: each refused line has its own, whose server is avoided afterwards, and all others share one. */
const refusedLines = lines.filter(({expected}) => expected === 502);
const serviceOf = (line: typeof lines[number]): number => refusedLines.indexOf(line) + 1;

const deployment: Deployment = {
	name: 'one-server', regions: ['north', 'south'], failureDomainsPerRegion: 1, megabitsPerSecond: 100, regionDelayMs: 0, failureDomainDelayMs: 0, clientDelayMs: 0,
	services: Array.from({length: refusedLines.length + 1}, (_, index) => ({
		name: `ledger-${index}`, priority: 'interactive', servers: 1, slots: 4,
	})),
};

describe('an entry daemon whose servers send odd status lines and field names', () => {
	let fleet: Fleet;
	let servers: ScriptedServer[];
	before(async () => {
		servers = await Promise.all(deployment.services.map(async () => startScriptedServer()));
		fleet = await startFleet({
			deployment, entries: 1, adjustSet: set => ({...set, backendServers: (set.backendServers ?? []).map((backend, index) => ({...backend, ...servers[index]!.endpoint}))}),
		});
	});
	after(async () => {
		await fleet.stop();
		await Promise.all(servers.map(async server => server.stop()));
	});

	const check = async (checked: typeof lines[number]): Promise<void> => {
		const {line, expected, before: earlier = []} = checked;
		const service = serviceOf(checked);
		servers[service]!.script = ({socket, callId}) => {
			socket.write([...earlier.map(head => `${head}\r\n\r\n`), `${line}\r\nx-call-id: ${callId}\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`].join(''), 'latin1');
		};

		const {address, port} = fleet.entries[0]!.instance.callers;
		const response = await request(`http://${address}:${port}/v1/services/ledger-${service}/x`, {method: 'POST', body: '{}', headers: {'x-request-timeout-ms': '1500'}});
		const text = await response.body.text();
		assert.equal(response.statusCode, expected, text);
		assert.ok(expected === 502 ? text.includes('"execution":"unknown"') : text === BODY);
	};

	for (const checked of lines) {
		it(`answers ${checked.expected} to ${[...checked.before ?? [], checked.line].map(head => JSON.stringify(head)).join(', ')}`, async () => check(checked));
	}
});
