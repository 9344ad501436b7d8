/** A backend server without behaviour: answers each call at once with a fixed body. `node origin.js '{"answerBytes": 2048}'`. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';

const {answerBytes} = JSON.parse(process.argv[2] ?? '{}') as {readonly answerBytes: number};
const answer = Buffer.alloc(answerBytes, 'x');
const report = Buffer.from(JSON.stringify({
	inFlight: 0, slots: 64, draining: false, state: 'serving',
}));
const server = createServer((request, response) => {
	const isReport = request.url === '/load' || request.url === '/health';
	const body = isReport ? report : answer;
	response.writeHead(200, {'content-type': isReport ? 'application/json' : 'text/plain', 'content-length': String(body.length)});
	response.end(body);
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
	const {address, port} = server.address() as AddressInfo;
	process.stdout.write(`${JSON.stringify({address, port})}\n`);
});
