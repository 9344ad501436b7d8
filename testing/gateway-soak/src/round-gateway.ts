/** A gateway of a crash round, with a proxied path to the store. It can be restarted. */
import {setTimeout as sleep} from 'node:timers/promises';
import {partitionFlags, startGatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {FaultProxy} from '@pomelopick/testing.fault-proxy';

/** Time from sending a request to a gateway to the kill of that gateway, in milliseconds. */
const KILL_DELAY_MS = 5;
/** Number of builds that run side by side if another one is given. */
const BUILDS = 2;

const domains = ['north-a', 'north-b', 'south-a'] as const;

/** Options of {@link RoundGateway.start}. */
export interface StartRoundGatewayOptions {
	readonly fleet: GatewayFleet;
	readonly number: number;
	readonly seed: number;
	/** Path of the compiled main module of another build, which every second gateway runs. */
	readonly otherMain: string | undefined;
}

type Line = Readonly<Record<string, unknown>>;

interface RoundGatewayParts {
	readonly settings: GatewaySettingsInput;
	readonly storePath: FaultProxy;
	readonly startProcess: () => Promise<GatewayProcess>;
	readonly process: GatewayProcess;
}

/** The gateway with its current process. */
export class RoundGateway {
	/** Starts a gateway. */
	static async start({fleet, number, seed, otherMain}: StartRoundGatewayOptions): Promise<RoundGateway> {
		const storePath = await startFaultProxy({target: fleet.platform.endpoint, seed: seed + number});
		const {address, port} = storePath.endpoint;
		const ownSettings = await fleet.settings({instance: `gateway-${number}`, failureDomain: domains[number % domains.length]});
		const settings = {...ownSettings, store: `${address}:${port}`};
		const main = number % BUILDS === 0 ? undefined : otherMain;
		const startProcess = async (): Promise<GatewayProcess> => startGatewayProcess({settings, engineFlags: partitionFlags, main});
		return new RoundGateway({
			settings, storePath, startProcess, process: await startProcess(),
		});
	}

	readonly settings: GatewaySettingsInput;
	readonly storePath: FaultProxy;
	readonly #startProcess: () => Promise<GatewayProcess>;
	readonly #endedLines: Line[] = [];
	#process: GatewayProcess;

	private constructor({settings, storePath, startProcess, process}: RoundGatewayParts) {
		this.settings = settings;
		this.storePath = storePath;
		this.#startProcess = startProcess;
		this.#process = process;
	}

	/** Path of the settings file of the current process. */
	get settingsPath(): string {
		return this.#process.settingsPath;
	}

	/** All lines that its processes have written. */
	get lines(): readonly Line[] {
		return [...this.#endedLines, ...this.#process.lines];
	}

	/** Kills the process shortly after now, and starts another one. */
	async kill(): Promise<void> {
		await sleep(KILL_DELAY_MS);
		this.#process.signal('SIGKILL');
		await this.#process.exited;
		await this.#startAgain();
	}

	/** Stops the process as planned, and starts another one. */
	async restart(): Promise<void> {
		await this.#process.stop();
		await this.#startAgain();
	}

	/** Stops the gateway. */
	async stop(): Promise<void> {
		await this.#process.stop();
		await this.storePath.stop();
	}

	async #startAgain(): Promise<void> {
		this.#endedLines.push(...this.#process.lines);
		this.#process = await this.#startProcess();
	}
}
