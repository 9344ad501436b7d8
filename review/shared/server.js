// A server of the platform that follows the protocol's page: it runs requests, signs its answers and rejects requests for other servers.
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {nowMs, record} from './record.js';

/** Starts a server. `workMs` is the time that it works on a request; `executions` gets one entry for each run. */
export async function startServer({name, executions, workMs = 20, onRequest}) {
	const server = createServer(async (request, response) => {
		await serve({
			name, executions, workMs, onRequest, request, response,
		});
	});
	server.keepAliveTimeout = 20_000;
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		name,
		port: server.address().port,
		async stop() {
			await new Promise(resolve => {
				server.close(resolve);
				server.closeAllConnections();
			});
		},
	};
}

async function serve({name, executions, workMs, onRequest, request, response}) {
	if (request.url === '/health') {
		request.resume();
		response.writeHead(200, {'x-instance-id': name, 'content-length': '0'}).end();
		return;
	}

	const id = String(request.headers['x-request-id']);
	const expected = request.headers['x-expect-instance'];
	if (expected !== undefined && expected !== name) {
		request.resume();
		response.writeHead(421, {'x-request-id': id, 'x-not-executed': '1', 'content-length': '0'}).end();
		return;
	}

	const execution = {
		id, server: name, atMs: nowMs(), method: request.method, path: request.url,
	};
	executions.push(execution);
	record('run', {
		server: name, id, method: request.method, path: request.url,
	});
	response.once('close', () => {
		record(response.writableFinished ? 'run-answered' : 'run-cancelled', {server: name, id});
	});
	if (onRequest) {
		await onRequest({
			request, response, execution, headers: createHeaders({name, id}),
		});
		return;
	}

	request.resume();
	await sleep(workMs);
	const body = JSON.stringify({id, server: name});
	response.writeHead(200, {...createHeaders({name, id}), 'content-length': String(body.length)}).end(body);
}

function createHeaders({name, id}) {
	return {'x-request-id': id, 'x-server-stamp': `${name}.${id}`, 'x-server-load': '1,0,4'};
}
