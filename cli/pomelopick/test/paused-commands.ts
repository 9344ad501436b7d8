/** Commands of the command line that are stopped by SIGSTOP between their steps, while others act on the same store. */
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
/** Shorter than a call of the store may take: the process goes on as if nothing had been. */
export const SHORT_PAUSE_MS = 300;
/** Longer than a call of the store may take, so that its deadline has passed when the process goes on. */
export const LONG_PAUSE_MS = 2500;
export const HOUR_MS = 3_600_000;

/** A set with one service. */
export const createSet = (service: string) => ({
	regions: [{name: 'north'}],
	failureDomains: [{name: 'north-1', region: 'north'}],
	sites: [{name: 'one', failureDomain: 'north-1'}],
	services: [{name: service}],
});

/** What others do while the process stands still. */
export type Meanwhile = (others: Others) => Promise<void>;

/** What others can do on the store. */
export interface Others {
	readonly platform: PlatformStandIn;
	/** Publishes a set with one service, now or `laterMs` later. */
	publish(service: string, laterMs?: number): Promise<void>;
	/** Collects `laterMs` later, keeping one earlier version. */
	collect(laterMs: number): Promise<void>;
}

/** The moment at which the process is stopped: around its first write of a key with this prefix. */
export interface StopAt {
	readonly moment: 'before' | 'after';
	readonly method: PlatformWrite['method'];
	readonly prefix: string;
}

/** A command that is stopped once. */
export interface PauseCase {
	readonly name: string;
	readonly stopAt: StopAt;
	readonly meanwhile: Meanwhile;
	readonly exitCode: number;
	readonly output: RegExp;
	/** Service of the newest version at the end. */
	readonly newest: string;
}

/** How a command ended. */
export interface CommandEnd {
	/** Its exit code, or the signal that ended it. */
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
	/** Starts the store and publishes three versions long ago. */
	static async start(): Promise<PausedCommands> {
		const commands = new PausedCommands({platform: await startPlatformStandIn(), directory: await mkdtemp(path.join(tmpdir(), 'pomelopick-'))});
		for (const service of ['first', 'second', 'third']) {
			await commands.others.publish(service, -2 * HOUR_MS);
		}

		return commands;
	}

	readonly others: Others;
	/** Directory for files of one test. */
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

	/** Ends the command and the store. */
	async stop(): Promise<void> {
		this.#child?.kill('SIGKILL');
		await this.#store.close();
		await this.#platform.stop();
		await rm(this.directory, {recursive: true});
	}

	/** Runs a command to its end. */
	async run(...flags: readonly string[]): Promise<CommandEnd> {
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

	/** Runs a command that is stopped, and checks how it ends. */
	async check({testCase, flags, pauseMs}: CheckOptions): Promise<void> {
		const wasStopped = this.#stopOnce({testCase, pauseMs});
		const {exit, output} = await this.run(...flags);
		this.#platform.faults.outage = false;
		assert.ok(wasStopped(), `the command never came to where it is stopped; it ended with ${exit} and said ${JSON.stringify(output)}`);
		assert.match(output, testCase.output, `ended with ${exit} and said ${JSON.stringify(output)}`);
		assert.equal(exit, testCase.exitCode);
		assert.equal(await this.readNewest(), testCase.newest);
	}

	/** Service of the newest version. */
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

	/** Stops the command once; answers whether it was. */
	#stopOnce({testCase: {stopAt: {moment, method, prefix}, meanwhile}, pauseMs}: Omit<CheckOptions, 'flags'>): () => boolean {
		let wasStopped = false;
		this.#platform.writeHooks[moment] = async write => {
			if (wasStopped || write.method !== method || !write.key.startsWith(prefix)) {
				return;
			}

			wasStopped = true;
			this.#child!.kill('SIGSTOP');
			await meanwhile(this.others);
			await sleep(pauseMs);
			this.#child!.kill('SIGCONT');
		};

		return () => wasStopped;
	}
}
