/** Guards against a response whose head breaks off and that reaches the caller as a complete one. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {callGateway, endpointOf} from '@pomelopick/testing.gateway-fleet';
import type {CallerResponse, RawRequest} from '@pomelopick/testing.gateway-fleet';
import {startGatewayWithRawServers} from './fixture.js';
import type {GatewayWithRawServers} from './fixture.js';

const SERVERS = 3;
const REQUESTS = 8;
const BODY = 'body';

type Method = 'GET' | 'POST';

/** The start of a response, at the end of which a server closes its connection. */
interface Cut {
	readonly name: string;
	/** Lines before the cut, of which the last is incomplete unless it is empty. */
	readonly lines: readonly string[];
	/** Bytes of the last line's end that are written. */
	readonly lineEnd?: string;
}

const stamped = ['HTTP/1.1 200 OK', 'x-request-id: ID', 'x-server-stamp: stamp.ID'];
const cuts: readonly Cut[] = [
	{name: 'within its status line', lines: ['HTTP/1.1 20']},
	{name: 'after its status line', lines: ['HTTP/1.1 200 OK'], lineEnd: '\r\n'},
	{name: 'within the name of a header', lines: [...stamped, 'content-le']},
	{name: 'within its content length', lines: [...stamped, 'content-length: 1']},
	{name: 'after its content length', lines: [...stamped, `content-length: ${BODY.length}`], lineEnd: '\r\n'},
	{name: 'after a content length of nothing', lines: [...stamped, 'content-length: 0'], lineEnd: '\r\n'},
	{name: 'after its transfer encoding', lines: [...stamped, 'transfer-encoding: chunked'], lineEnd: '\r\n'},
	{name: 'after its last line', lines: stamped, lineEnd: '\r\n'},
	{name: 'within the empty line', lines: [...stamped, 'content-length: 0\r\n'], lineEnd: '\r'},
	{name: 'after an interim response', lines: ['HTTP/1.1 103 Early Hints', 'link: a', '', ...stamped], lineEnd: '\r\n'},
	{name: 'after it announced to close the connection', lines: [...stamped, 'connection: close'], lineEnd: '\r\n'},
	{name: 'in HTTP/1.0', lines: ['HTTP/1.0 200 OK', ...stamped.slice(1)], lineEnd: '\r\n'},
];

const ends: ReadonlyArray<{name: string; end: (request: RawRequest, bytes: string) => void}> = [
	{
		name: 'closed', end({socket}, bytes) {
			socket.end(bytes);
		},
	},
	{
		name: 'reset', end({socket}, bytes) {
			socket.write(bytes, () => {
				socket.resetAndDestroy();
			});
		},
	},
];

describe('a response whose head breaks off', () => {
	let gateway: GatewayWithRawServers;
	let respond: (request: RawRequest) => void;
	const reached = new Set<string>();

	before(async () => {
		gateway = await startGatewayWithRawServers({
			servers: SERVERS, onRequest({request}) {
				reached.add(request.requestId);
				respond(request);
			},
		});
	});
	after(async () => gateway.stop());

	const check = async ({method, cut: {lines, lineEnd = ''}, end}: {readonly method: Method; readonly cut: Cut; readonly end: (typeof ends)[number]['end']}): Promise<void> => {
		respond = request => {
			end(request, `${lines.join('\r\n')}${lineEnd}`.replaceAll('ID', request.requestId));
		};

		reached.clear();
		const responses: CallerResponse[] = [];
		for (let index = 0; index < REQUESTS; index += 1) {
			responses.push(await callGateway({
				endpoint: endpointOf(gateway.settings.listen.callers), method, path: method === 'GET' ? '/read/x' : '/write/x', body: method === 'GET' ? undefined : 'x', object: `object-${index}`,
			}));
		}

		// Servers that fail again and again get nothing for a while; requests are then refused as not run.
		const refused = new Set(responses.filter(({requestId, status}) => status === 503 && !reached.has(requestId)));
		const answered = responses.filter(response => !refused.has(response));
		assert.deepEqual(new Set(answered.map(({status}) => status)), new Set([502]));
	};

	for (const cut of cuts) {
		for (const {name, end} of ends) {
			for (const method of ['GET', 'POST'] as const) {
				it(`is answered with 502: ${method}, ${cut.name}, ${name}`, async () => check({method, cut, end}));
			}
		}
	}
});
