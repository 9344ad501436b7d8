// The address of a server that lost its power: connecting to it hangs.
// A listener with the shortest queue runs as a process that is stopped; connections fill its queue, and further ones get no reply.
import {connect, createServer} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const FILLERS = 8;
const CHECK_MS = 400;

/** Starts one; rejects if connecting to it does not hang here. */
export async function startSilentServer({deployment}) {
	const child = deployment.spawn({command: process.execPath, args: [fileURLToPath(import.meta.url)], options: {stdio: ['ignore', 'pipe', 'inherit']}});
	const port = await new Promise(resolve => {
		child.stdout.once('data', text => {
			resolve(Number(text));
		});
	});
	child.kill('SIGSTOP');
	const fillers = Array.from({length: FILLERS}, () => connect({host: '127.0.0.1', port}).on('error', () => {/* Expected when the process ends. */}));
	deployment.own({
		async stop() {
			for (const filler of fillers) {
				filler.destroy();
			}
		},
	});
	await sleep(CHECK_MS);
	if (await connects(port)) {
		throw new Error('connecting to a stopped listener does not hang here');
	}

	return {port};
}

async function connects(port) {
	const socket = connect({host: '127.0.0.1', port});
	const result = await Promise.race([sleep(CHECK_MS), new Promise(resolve => {
		socket.once('connect', () => {
			resolve(true);
		}).on('error', () => {
			resolve(false);
		});
	})]);
	socket.destroy();
	return result === true;
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
	const server = createServer();
	server.listen({host: '127.0.0.1', port: 0, backlog: 1}, () => {
		process.stdout.write(`${server.address().port}\n`);
	});
}
