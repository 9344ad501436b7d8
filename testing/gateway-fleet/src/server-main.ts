/**
 * Program of a backend server that runs as a process of its own, so that signals can pause it.
 *
 * Its argument is its name. It sends its port to its parent, and then the id of each request that it begins to run.
 */
import process from 'node:process';
import {rawResponse, startRawServer} from './raw-server.js';

const name = process.argv[2]!;
const server = await startRawServer({
	name, onRequest({requestId, socket, workMs}) {
		process.send!({requestId});
		const body = JSON.stringify({requestId, server: name});
		setTimeout(() => {
			socket.write(rawResponse({status: '200 OK', headers: [`x-request-id: ${requestId}`, `x-server-stamp: ${name}.${requestId}`], body}));
		}, workMs);
	},
});
process.send!({port: server.port});
