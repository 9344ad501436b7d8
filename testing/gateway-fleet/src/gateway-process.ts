/** Runs a gateway as a separate process. */
import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';

const MAIN = fileURLToPath(new URL('../../../daemons/gateway/lib/main.js', import.meta.url));
const STOP_TIMEOUT_MS = 10_000;

/** Options of {@link startGatewayProcess}. */
export interface StartGatewayProcessOptions {
	readonly settings: GatewaySettingsInput;
	/** Whether the output of the process is read from the start. */
	readonly isOutputRead?: boolean;
	/** Flags of the engine. */
	readonly engineFlags?: readonly string[];
	/** Content of the settings file, in place of the settings. */
	readonly settingsText?: string;
	/** Maximum number of open files of the process. */
	readonly maxOpenFiles?: number;
}

/** A running gateway process. */
export interface GatewayProcess {
	readonly processId: number;
	readonly settingsPath: string;
	/** Parsed JSON lines that the process has written to its standard output. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
	readonly errors: readonly string[];
	/** Resolves with the exit code, or with undefined if a signal ended the process. */
	readonly exited: Promise<number | undefined>;
	readonly hasExited: () => boolean;
	readonly signal: (signal: NodeJS.Signals) => void;
	/** Overwrites the settings file. */
	readonly writeSettings: (settings: unknown) => Promise<void>;
	/** Starts reading the standard output. */
	readonly readOutput: () => void;
	/** Ends the process with SIGTERM, and with SIGKILL if it does not exit in time. */
	readonly stop: () => Promise<void>;
}

/** Starts a gateway with a temporary settings file. */
export async function startGatewayProcess(options: StartGatewayProcessOptions): Promise<GatewayProcess> {
	const {settings, isOutputRead = true, engineFlags = [], settingsText = JSON.stringify(settings), maxOpenFiles} = options;
	const directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-gateway-'));
	const file = path.join(directory, 'settings.json');
	await writeFile(file, settingsText);
	const command = [process.execPath, ...engineFlags, MAIN];
	const limited = maxOpenFiles === undefined ? command : ['/bin/sh', '-c', `ulimit -n ${maxOpenFiles}; exec "$@"`, 'sh', ...command];
	const child = spawn(limited[0]!, limited.slice(1), {stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, POMELOPICK_SETTINGS: file}});
	const lines: Array<Record<string, unknown>> = [];
	const errors: string[] = [];
	let incompleteLine = '';
	const readOutput = (): void => {
		child.stdout.on('data', (chunk: Uint8Array) => {
			const parts = `${incompleteLine}${new TextDecoder().decode(chunk)}`.split('\n');
			incompleteLine = parts.pop()!;
			lines.push(...parts.map(line => JSON.parse(line) as Record<string, unknown>));
		});
	};

	if (isOutputRead) {
		readOutput();
	}

	child.stderr.on('data', (chunk: Uint8Array) => {
		errors.push(new TextDecoder().decode(chunk));
	});
	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', code => {
			resolve(code ?? undefined);
		});
	});
	const hasExited = (): boolean => child.exitCode !== null || child.signalCode !== null;
	return {
		processId: child.pid!,
		settingsPath: file,
		lines,
		errors,
		exited,
		hasExited,
		signal(signal) {
			child.kill(signal);
		},
		async writeSettings(changed) {
			await writeFile(file, JSON.stringify(changed));
		},
		readOutput,
		async stop() {
			child.kill('SIGCONT');
			child.kill('SIGTERM');
			const timer = setTimeout(() => {
				child.kill('SIGKILL');
			}, STOP_TIMEOUT_MS);
			await exited;
			clearTimeout(timer);
			await rm(directory, {recursive: true});
		},
	};
}
