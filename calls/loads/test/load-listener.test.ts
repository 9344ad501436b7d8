/** Guards against refused load reports that do not say what is wrong with them. */
import assert from 'node:assert/strict';
import {createServer, request} from 'node:http';
import type {IncomingMessage, RequestOptions} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {createLoadListener, LOADS_PATH} from '@pomelopick/calls.loads';

const cases: ReadonlyArray<{name: string; options: RequestOptions; body?: string; expected: readonly [status: number, text: string]}> = [
	{name: 'another method', options: {method: 'GET'}, expected: [400, 'method: expected POST, found GET']},
	{
		name: 'no length', options: {method: 'POST', headers: {'transfer-encoding': 'chunked'}}, expected: [400, 'content-length: expected at most 1048576 bytes, found none'],
	},
	{
		name: 'a length beyond the maximum', options: {method: 'POST', headers: {'content-length': 1_048_577}}, expected: [400, 'content-length: expected at most 1048576 bytes, found 1048577'],
	},
	{
		name: 'a malformed field', options: {method: 'POST'}, body: '{"instance":"a","loads":1}', expected: [400, 'loads: expected a list of at most 20000, found 1'],
	},
	{
		name: 'nothing wrong with it', options: {method: 'POST'}, body: '{"instance":"a","loads":[]}', expected: [200, '{"loads":[]}'],
	},
];

describe('a load report', () => {
	for (const {name, options, body, expected} of cases) {
		it(`is answered with ${expected[0]} for ${name}`, async () => {
			const server = createServer(createLoadListener({receive: () => ({loads: [], demand: []}), onMalformed() {/* It is part of the response. */}}));
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const {port} = server.address() as AddressInfo;
			const response = await new Promise<IncomingMessage>((resolve, reject) => {
				const sent = request({
					host: '127.0.0.1', port, path: LOADS_PATH, ...options, headers: {...options.headers, ...(body !== undefined && {'content-length': body.length})},
				}, resolve).on('error', reject);
				// The response comes before the body that the headers announce.
				sent.flushHeaders();
				if (body !== undefined || options.method === 'GET') {
					sent.end(body);
				}
			});
			assert.deepEqual([response.statusCode, await text(response)], expected);
			server.closeAllConnections();
			server.close();
		});
	}
});
