/** Runs a backend server as a separate process. */
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

const MAIN = fileURLToPath(new URL('server-main.js', import.meta.url));

/** A running server process. */
export interface ServerProcess {
	readonly name: string;
	readonly port: number;
	readonly signal: (signal: NodeJS.Signals) => void;
	/** Kills the process. */
	readonly stop: () => Promise<void>;
}

/** Options of {@link startServerProcess}. */
export interface StartServerProcessOptions {
	readonly name: string;
	/** Called with the id of each request that the server begins to run. */
	readonly onRun: (requestId: string) => void;
}

/** Starts a server on the loopback address. It does not register itself. */
export async function startServerProcess({name, onRun}: StartServerProcessOptions): Promise<ServerProcess> {
	const child = fork(MAIN, [name]);
	const exited = once(child, 'exit');
	const [{port}] = await once(child, 'message') as [{readonly port: number}];
	child.on('message', ({requestId}: {readonly requestId: string}) => {
		onRun(requestId);
	});
	return {
		name,
		port,
		signal(signal) {
			child.kill(signal);
		},
		async stop() {
			child.kill('SIGKILL');
			await exited;
		},
	};
}
