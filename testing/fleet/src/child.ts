/** A process of the fleet, started by a test and ended by its own id. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import process from 'node:process';

const START_TIMEOUT_MS = 15_000;
const STOP_TIMEOUT_MS = 20_000;

/** Options of {@link startChild}. */
export interface StartChildOptions {
	readonly module: string;
	readonly arguments: readonly string[];
	readonly environment?: Readonly<Record<string, string>>;
}

/** A running process. */
export interface Child<Announcement> {
	/** First line that the process printed, parsed. */
	readonly announcement: Announcement;
	readonly processId: number;
	readonly hasExited: () => boolean;
	/** Called once when the process ends, however it ends. */
	onExit(listener: (code: number | undefined) => void): void;
	signal(signal: NodeJS.Signals): void;
	/** Sends SIGTERM and waits; SIGKILL after a deadline. Answers the exit code. */
	stop(): Promise<number | undefined>;
	/** Sends SIGKILL and waits. */
	kill(): Promise<void>;
}

const running = new Set<ChildProcess>();

process.once('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

/** Starts a module as a process and waits for its first line. */
export async function startChild<Announcement>({module, arguments: values, environment = {}}: StartChildOptions): Promise<Child<Announcement>> {
	const child = spawn(process.execPath, ['--enable-source-maps', module, ...values], {
		stdio: ['ignore', 'pipe', 'inherit'], env: {...process.env, NODE_OPTIONS: '', ...environment},
	});
	running.add(child);
	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', code => {
			running.delete(child);
			resolve(code ?? undefined);
		});
	});
	const announcement = await readAnnouncement<Announcement>({child, module});
	const hasExited = (): boolean => child.exitCode !== null || child.signalCode !== null;
	return {
		announcement,
		processId: child.pid!,
		hasExited,
		onExit(listener) {
			void announceExit({exited, listener});
		},
		signal(signal) {
			child.kill(signal);
		},
		async stop() {
			child.kill('SIGTERM');
			const timer = setTimeout(() => {
				child.kill('SIGKILL');
			}, STOP_TIMEOUT_MS);
			const code = await exited;
			clearTimeout(timer);
			return code;
		},
		async kill() {
			child.kill('SIGKILL');
			await exited;
		},
	};
}

async function announceExit({exited, listener}: {readonly exited: Promise<number | undefined>; readonly listener: (code: number | undefined) => void}): Promise<void> {
	listener(await exited);
}

async function readAnnouncement<Announcement>({child, module}: {readonly child: ChildProcess; readonly module: string}): Promise<Announcement> {
	return new Promise((resolve, reject) => {
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
			reject(new Error(`${module} did not start within ${START_TIMEOUT_MS} ms`));
		}, START_TIMEOUT_MS);
		child.once('exit', code => {
			clearTimeout(timer);
			reject(new Error(`${module} ended with code ${code} before it was ready`));
		});
		const lines = createInterface({input: child.stdout!});
		lines.once('line', line => {
			clearTimeout(timer);
			resolve(JSON.parse(line) as Announcement);
		});
	});
}
