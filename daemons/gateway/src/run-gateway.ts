/** Reads the settings, runs the gateway and handles signals. */
import {unwatchFile, watchFile} from 'node:fs';
import process from 'node:process';
import {createOutputWriter, FatalErrors, writeError} from '@pomelopick/core.telemetry';
import {SETTINGS_VARIABLE} from '@pomelopick/platform.wire';
import type {CodeCacheUse} from './code-cache.js';
import type {OnSignal} from './early-signals.js';
import {startGateway} from './gateway.js';
import type {Gateway} from './gateway.js';
import {readSettingsFile} from './settings-file.js';

const BAD_SETTINGS_EXIT_CODE = 2;
const STANDARD_OUTPUT = 1;
/** Interval at which the settings file is checked for changes, in milliseconds. */
const SETTINGS_CHECK_MS = 2000;
/** Time for requests in progress after an error that reached nobody, in milliseconds. */
const FATAL_STOP_MS = 1000;

/** Options of {@link runGateway}. */
export interface RunGatewayOptions {
	readonly onSignal: OnSignal;
	/** Whether the program was started from its code cache, for the log; `missing` by default. */
	readonly codeCache?: CodeCacheUse;
}

/** Runs a gateway. The path of the settings file is taken from the environment, or else from the command line. */
export async function runGateway({onSignal, codeCache}: RunGatewayOptions): Promise<void> {
	const fatalErrors = new FatalErrors();
	const path = process.env[SETTINGS_VARIABLE] ?? process.argv[2];
	if (path === undefined) {
		exitWithError(`usage: gateway SETTINGS.json, or its path in ${SETTINGS_VARIABLE}`);
		return;
	}

	const settings = await readSettingsFile(path);
	await settings.caseOf({
		async Left({code, message}) {
			exitWithError(`${code}: ${message}`);
		},
		async Right(checked) {
			const stopping = new AbortController();
			const reloads = new ReloadRequests();
			onSignal(signal => {
				if (signal === 'SIGHUP') {
					reloads.request();
				} else {
					stopping.abort();
				}
			});
			const output = createOutputWriter({descriptor: STANDARD_OUTPUT});
			const {instance, failureDomain, region} = checked;
			fatalErrors.use({output, common: {instance, failureDomain, region}});
			const started = await startGateway({
				settings: checked, output, codeCache, stopSignal: stopping.signal,
			});
			started.ifLeft(({code, message}) => {
				if (code === 'bind-refused') {
					exitWithError(`${code}: ${message}`);
				}
			}).ifRight(gateway => {
				fatalErrors.use({
					describe: () => ({phase: 'running', inProgress: gateway.countRequests()}),
					stop: async () => gateway.stop({timeoutMs: FATAL_STOP_MS}),
				});
				useSettingsFile({gateway, settingsPath: path, reloads});
				stopAtSignal({gateway, settingsPath: path, stopSignal: stopping.signal});
			});
		},
	});
}

function exitWithError(text: string): void {
	writeError(`${text}\n`);
	process.exitCode = BAD_SETTINGS_EXIT_CODE;
}

/** Requests to reload the settings; those that come during the start are kept. */
class ReloadRequests {
	#isRequested = false;
	#reload: (() => void) | undefined;

	/** Reloads the settings now, or once {@link use} is called. */
	request(): void {
		this.#isRequested = true;
		this.#reload?.();
	}

	/** Sets what reloads the settings. */
	use(reload: () => void): void {
		this.#reload = reload;
		if (this.#isRequested) {
			reload();
		}
	}
}

interface UseSettingsFileOptions {
	readonly gateway: Gateway;
	readonly settingsPath: string;
	readonly reloads: ReloadRequests;
}

/** Reloads the settings when that is requested and when their file changes. */
function useSettingsFile({gateway, settingsPath, reloads}: UseSettingsFileOptions): void {
	const reload = async (): Promise<void> => {
		const settings = await readSettingsFile(settingsPath);
		settings.ifLeft(({code, message}) => {
			gateway.keepSettings({code, message});
			writeError(`settings not reloaded, the previous ones stay active: ${code}: ${message}\n`);
		}).ifRight(changed => {
			gateway.useSettings(changed);
		});
	};

	watchFile(settingsPath, {interval: SETTINGS_CHECK_MS, persistent: false}, () => {
		void reload();
	});
	reloads.use(() => {
		void reload();
	});
}

/** Stops the gateway once, at a signal that has come or will come. */
function stopAtSignal({gateway, settingsPath, stopSignal}: {readonly gateway: Gateway; readonly settingsPath: string; readonly stopSignal: AbortSignal}): void {
	const stop = (): void => {
		unwatchFile(settingsPath);
		void gateway.stop();
	};

	if (stopSignal.aborted) {
		stop();
	} else {
		stopSignal.addEventListener('abort', stop, {once: true});
	}
}
