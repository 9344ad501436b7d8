/** Runs a gateway as a separate process. */
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';

const MAIN = fileURLToPath(new URL('../../../daemons/gateway/lib/main.js', import.meta.url));
const STOP_TIMEOUT_MS = 10_000;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/** Signals that end a gateway. */
const endingSignals: ReadonlySet<NodeJS.Signals> = new Set(['SIGKILL', 'SIGTERM', 'SIGINT']);

/** Bit of SIGHUP in the mask of caught signals in `/proc/PID/status`. */
const HANGUP_BIT = 1n;

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
	/** Path of the compiled main module, for a gateway of another build; that of this build by default. */
	readonly main?: string;
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
	/** Whether it was told to end: by a signal that ends a gateway, by SIGHUP before the runtime had started the program, which cannot catch it then, or by {@link stop}. */
	readonly wasToldToEnd: () => boolean;
	/** Whether it was stopped by SIGSTOP and not continued. */
	readonly isFrozen: () => boolean;
	/** Time for which it was ready to run and got no processor, in milliseconds. */
	readonly starvedMs: () => number;
	readonly signal: (signal: NodeJS.Signals) => void;
	/** Overwrites the settings file. */
	readonly writeSettings: (settings: unknown) => Promise<void>;
	/** Starts reading the standard output. */
	readonly readOutput: () => void;
	/** Ends the process with SIGTERM, and with SIGKILL if it does not exit in time. */
	readonly stop: () => Promise<void>;
}

const runningIds = new Set<number>();
process.once('exit', () => {
	// A gateway that outlives the tests would call whatever takes the ports of their store later.
	for (const processId of runningIds) {
		process.kill(processId, 'SIGKILL');
	}
});

/** Starts a gateway with a temporary settings file. */
export async function startGatewayProcess(options: StartGatewayProcessOptions): Promise<GatewayProcess> {
	const {settings, isOutputRead = true, engineFlags = [], settingsText = JSON.stringify(settings), maxOpenFiles, main = MAIN} = options;
	const directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-gateway-'));
	const file = path.join(directory, 'settings.json');
	await writeFile(file, settingsText);
	const command = [process.execPath, ...engineFlags, main];
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
		runningIds.add(child.pid!);
		child.once('exit', code => {
			runningIds.delete(child.pid!);
			resolve(code ?? undefined);
		});
	});
	let wasToldToEnd = false;
	let wasHungUpEarly = false;
	let isFrozen = false;
	const signal = (sent: NodeJS.Signals): void => {
		wasToldToEnd ||= endingSignals.has(sent);
		wasHungUpEarly ||= sent === 'SIGHUP' && !catchesHangup(child.pid!);
		isFrozen = sent === 'SIGSTOP' || (isFrozen && sent !== 'SIGCONT');
		child.kill(sent);
	};

	const hasExited = (): boolean => child.exitCode !== null || child.signalCode !== null;
	return {
		processId: child.pid!,
		settingsPath: file,
		lines,
		errors,
		exited,
		hasExited,
		wasToldToEnd: () => wasToldToEnd || (wasHungUpEarly && child.signalCode === 'SIGHUP'),
		isFrozen: () => isFrozen,
		starvedMs: () => readStarvedMs(child.pid!),
		signal,
		async writeSettings(changed) {
			await writeFile(file, JSON.stringify(changed));
		},
		readOutput,
		async stop() {
			signal('SIGCONT');
			signal('SIGTERM');
			const timer = setTimeout(() => {
				signal('SIGKILL');
			}, STOP_TIMEOUT_MS);
			await exited;
			clearTimeout(timer);
			await rm(directory, {recursive: true});
		},
	};
}

function catchesHangup(processId: number): boolean {
	try {
		const mask = /^SigCgt:\s*(?<mask>[\da-f]+)$/mu.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))!.groups!.mask!;
		return (BigInt(`0x${mask}`) & HANGUP_BIT) !== 0n; // eslint-disable-line no-bitwise
	} catch {
		// The process has ended, so that no signal reaches it.
		return true;
	}
}

function readStarvedMs(processId: number): number {
	try {
		return Number(readFileSync(`/proc/${processId}/schedstat`, 'utf8').split(' ')[1]) / NANOSECONDS_PER_MILLISECOND;
	} catch {
		// The process has ended.
		return 0;
	}
}
