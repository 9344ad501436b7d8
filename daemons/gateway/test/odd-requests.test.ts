/** Guards against gateways that end because of a request to one of their listeners other than that of callers. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet} from '@pomelopick/testing.gateway-fleet';

const SHOWN_CHARACTERS = 600;
const WAIT_MS = 100;
const DEEP = 100_000;
const COMMON_HEADERS = 'Host: a\r\nConnection: close\r\n';

const targets = [
	'//',
	'///',
	'/\\',
	'http://',
	'http://[',
	'//[::1',
	'/pomelopick/resolve?name=%',
	'/pomelopick/resolve?name=%FF%00&zone=%ED%A0%80',
	'/pomelopick/resolve?__proto__=1&name=__proto__',
	'*',
	`/${'x'.repeat(8000)}`,
	'/changes?after=-1',
	'/changes?after=9'.padEnd(40, '9'),
	'//changes',
];
const methods = ['GET', 'POST', 'PUT', 'OPTIONS', 'CONNECT', 'PROPFIND'];
const nested = `${'['.repeat(DEEP)}${']'.repeat(DEEP)}`;
const bodies = ['', 'null', '[]', '{}', '1', nested, `{"records":${nested},"passOn":[]}`, `{"records":[${nested}],"passOn":[1]}`, `{"record":${nested}}`, '{"record":null}', '{"records":[{"kind":"death"}],"passOn":["a"]}', '\u0000'];
const messages = ['/suspicions', '/rate-limits', '/rate-permits']
	.flatMap(path => bodies.map(body => ({path, body})))
	.flatMap(({path, body}) => [body.length, body.length + 1].map(length => `POST ${path} HTTP/1.1\r\n${COMMON_HEADERS}Content-Length: ${length}\r\n\r\n${body}`));
const listeners = ['readiness', 'directory', 'metrics', 'peers'] as const;

async function send({listener, text}: {readonly listener: string; readonly text: string}): Promise<void> {
	const {address, port} = endpointOf(listener);
	const socket = connect({host: address, port});
	socket.on('error', () => {/* The listener may reset the connection. */});
	socket.resume();
	socket.end(text);
	await Promise.race([once(socket, 'close'), sleep(WAIT_MS)]);
	socket.destroy();
}

describe('a gateway that gets odd requests', () => {
	let fleet: GatewayFleet;

	before(async () => {
		fleet = await startGatewayFleet();
	});
	after(async () => {
		await fleet.stop();
	});

	const check = async (listTexts: (listen: GatewaySettingsInput['listen']) => ReadonlyArray<readonly [listener: string, text: string]>): Promise<void> => {
		const settings = await fleet.settings({instance: `gateway-${randomUUID()}`});
		const gateway = await startGatewayProcess({settings});
		try {
			await until(async () => isReady(settings));
			await Promise.all(listTexts(settings.listen).map(async ([listener, text]) => send({listener, text})));
			const {status} = await callGateway({endpoint: endpointOf(settings.listen.callers)});
			assert.equal(status, 200, gateway.errors.join('').slice(0, SHOWN_CHARACTERS));
			const response = await fetch(`http://${settings.listen.directory}/pomelopick/resolve?name=fleet.example`);
			assert.equal(response.status, 200);
		} finally {
			gateway.signal('SIGKILL');
			await gateway.stop();
		}
	};

	for (const name of listeners) {
		it(`goes on after odd targets at its listener for ${name}`, async () => check(listen => targets.flatMap(target => methods.map(method => [listen[name], `${method} ${target} HTTP/1.1\r\n${COMMON_HEADERS}\r\n`]))));
	}

	it('goes on after odd messages at its listener for other instances', async () => check(({peers}) => messages.map(message => [peers, message])));
});
