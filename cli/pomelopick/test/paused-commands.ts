/** Runs commands that are paused by SIGSTOP between two steps, while other clients write to the same store. */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	collectChunks, publishConfiguration, readRoot, readSet,
} from '@pomelopick/config.publishing';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {PublishId} from '@pomelopick/core.types';
import {PlatformStore} from '@pomelopick/platform.store';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {PlatformStandIn, PlatformWrite} from '@pomelopick/testing.platform-stand-in';

const PROGRAM = fileURLToPath(new URL('../lib/main.js', import.meta.url));
/** Shorter than the timeout of a store call, so that the process continues as if it had not been paused. */
export const SHORT_PAUSE_MS = 300;
/** Longer than the timeout of a store call, so that the call has timed out when the process continues. */
export const LONG_PAUSE_MS = 2500;
export const HOUR_MS = 3_600_000;

/** Creates a set with one service. */
export const createSet = (service: string) => ({
	regions: [{name: 'north'}],
	failureDomains: [{name: 'north-1', region: 'north'}],
	sites: [{name: 'one', failureDomain: 'north-1'}],
	services: [{name: service}],
});

/** What other clients do while the process is paused. */
export type Meanwhile = (others: Others) => Promise<void>;

/** Operations of other clients on the store. */
export interface Others {
	readonly platform: PlatformStandIn;
	/** Publishes a set with one service, at the current time plus `laterMs`. */
	publish(service: string, laterMs?: number): Promise<void>;
	/** Runs a collection at the current time plus `laterMs`, keeping one earlier version. */
	collect(laterMs: number): Promise<void>;
}

/** When the process is paused: before or after the store applies its first write of a key with this prefix. */
export interface PausePoint {
	readonly moment: 'before' | 'after';
	readonly method: PlatformWrite['method'];
	readonly prefix: string;
}

/** A command that is paused once. */
export interface PauseCase {
	readonly name: string;
	readonly pauseAt: PausePoint;
	readonly meanwhile: Meanwhile;
	readonly exitCode: number;
	readonly output: RegExp;
	/** Name of the service in the newest version after the command. */
	readonly newest: string;
}

/** Result of a command. */
export interface CommandResult {
	/** Exit code, or the signal that ended the process. */
	readonly exit: number | string;
	readonly output: string;
}

/** Options of {@link PausedCommands.check}. */
export interface CheckOptions {
	readonly testCase: PauseCase;
	readonly flags: readonly string[];
	readonly pauseMs: number;
}

/** A store with three versions, and the commands that are run on it. */
export class PausedCommands {
	/** Starts the store and publishes three versions, dated two hours ago. */
	static async start(): Promise<PausedCommands> {
		const commands = new PausedCommands({platform: await startPlatformStandIn(), directory: await mkdtemp(path.join(tmpdir(), 'pomelopick-'))});
		for (const service of ['first', 'second', 'third']) {
			await commands.others.publish(service, -2 * HOUR_MS);
		}

		return commands;
	}

	readonly others: Others;
	/** Directory for the files of one test. */
	readonly directory: string;
	readonly #platform: PlatformStandIn;
	readonly #store: PlatformStore;
	#child: ChildProcess | undefined;

	private constructor({platform, directory}: {readonly platform: PlatformStandIn; readonly directory: string}) {
		this.#platform = platform;
		this.directory = directory;
		this.#store = new PlatformStore({endpoint: platform.endpoint});
		this.others = {
			platform,
			publish: async (service, laterMs = 0) => this.#publish({service, laterMs}),
			collect: async laterMs => this.#collect(laterMs),
		};
	}

	/** Kills the command and stops the store. */
	async stop(): Promise<void> {
		this.#child?.kill('SIGKILL');
		await this.#store.close();
		await this.#platform.stop();
		await rm(this.directory, {recursive: true});
	}

	/** Runs a command to its end. */
	async run(...flags: readonly string[]): Promise<CommandResult> {
		const {address, port} = this.#platform.endpoint;
		const started = spawn(process.execPath, [PROGRAM, 'config', ...flags, '--store', `${address}:${port}`], {stdio: ['ignore', 'pipe', 'pipe']});
		this.#child = started;
		const exited = new Promise<number | string>(resolve => {
			started.once('close', (code, signal) => {
				resolve(code ?? signal!);
			});
		});
		const [exit, ...outputs] = await Promise.all([exited, text(started.stdout), text(started.stderr)]);
		return {exit, output: outputs.join('')};
	}

	/** Runs a command that is paused once, and checks its result. */
	async check({testCase, flags, pauseMs}: CheckOptions): Promise<void> {
		const wasPaused = this.#pauseOnce({testCase, pauseMs});
		const {exit, output} = await this.run(...flags);
		this.#platform.faults.outage = false;
		assert.ok(wasPaused(), `the command never reached the step at which it is paused; it ended with ${exit} and printed ${JSON.stringify(output)}`);
		assert.match(output, testCase.output, `ended with ${exit} and printed ${JSON.stringify(output)}`);
		assert.equal(exit, testCase.exitCode);
		assert.equal(await this.readNewest(), testCase.newest);
	}

	/** Returns the name of the service in the newest version. */
	async readNewest(): Promise<string> {
		const store = this.#store;
		const read = await readRoot(store).chain(found => readSet({store, root: found!.root})).run();
		return read.map(({set}) => set.services[0]!.name as string).mapLeft(({code, message}) => `${code}: ${message}`).extract();
	}

	async #publish({service, laterMs}: {readonly service: string; readonly laterMs: number}): Promise<void> {
		const published = await publishConfiguration({
			store: this.#store, set: checkConfigurationSet(createSet(service)).unsafeCoerce(), author: service, nowMs: Date.now() + laterMs, publishId: `${service}-${laterMs}` as PublishId,
		}).run();
		assert.equal(published.map(({kind}) => kind).orDefault('undecided'), 'accepted');
	}

	async #collect(laterMs: number): Promise<void> {
		const collected = await collectChunks({
			store: this.#store, keepVersions: 1, publishTimeoutMs: HOUR_MS, nowMs: Date.now() + laterMs,
		}).run();
		collected.unsafeCoerce();
	}

	/** Pauses the command once; returns a function that returns whether it was paused. */
	#pauseOnce({testCase: {pauseAt: {moment, method, prefix}, meanwhile}, pauseMs}: Omit<CheckOptions, 'flags'>): () => boolean {
		let wasPaused = false;
		this.#platform.writeHooks[moment] = async write => {
			if (wasPaused || write.method !== method || !write.key.startsWith(prefix)) {
				return;
			}

			wasPaused = true;
			this.#child!.kill('SIGSTOP');
			await meanwhile(this.others);
			await sleep(pauseMs);
			this.#child!.kill('SIGCONT');
		};

		return () => wasPaused;
	}
}
