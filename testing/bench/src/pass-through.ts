/** The yardstick: a bare pass-through of Node's http and undici. `node pass-through.js '{"origins": ["http://…"]}'`. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {pipeline} from 'node:stream/promises';
import process from 'node:process';
import {Agent} from 'undici';

const CONNECTIONS_PER_ORIGIN = 32;

const {origins} = JSON.parse(process.argv[2] ?? '{}') as {readonly origins: readonly string[]};
const dispatcher = new Agent({connections: CONNECTIONS_PER_ORIGIN, pipelining: 1});
let next = 0;
const server = createServer(async (request, response) => {
	next = (next + 1) % origins.length;
	try {
		const answer = await dispatcher.request({
			origin: origins[next]!, path: request.url ?? '/', method: 'GET', headers: request.headers,
		});
		response.writeHead(answer.statusCode, answer.headers);
		await pipeline(answer.body, response);
	} catch {
		response.destroy();
	}
});
server.listen(0, '127.0.0.1', () => {
	const {address, port} = server.address() as AddressInfo;
	process.stdout.write(`${JSON.stringify({address, port})}\n`);
});
