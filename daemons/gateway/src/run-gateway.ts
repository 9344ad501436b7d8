/** Reads the settings, runs the gateway and handles signals. */
import {unwatchFile, watchFile} from 'node:fs';
import process from 'node:process';
import {readGatewaySettings} from '@pomelopick/config.settings';
import {createOutputWriter} from '@pomelopick/core.telemetry';
import {SETTINGS_VARIABLE} from '@pomelopick/platform.wire';
import type {CodeCacheUse} from './code-cache.js';
import type {OnSignal} from './early-signals.js';
import {startGateway} from './gateway.js';
import type {Gateway} from './gateway.js';

const BAD_SETTINGS_EXIT_CODE = 2;
const STANDARD_OUTPUT = 1;
/** Interval at which the settings file is checked for changes, in milliseconds. */
const SETTINGS_CHECK_MS = 2000;

/** Options of {@link runGateway}. */
export interface RunGatewayOptions {
	readonly onSignal: OnSignal;
	/** Whether the program was started from its code cache, for the log; `missing` by default. */
	readonly codeCache?: CodeCacheUse;
}

/** Runs a gateway. The path of the settings file is taken from the environment, or else from the command line. */
export async function runGateway({onSignal, codeCache}: RunGatewayOptions): Promise<void> {
	const path = process.env[SETTINGS_VARIABLE] ?? process.argv[2];
	if (path === undefined) {
		exitWithError(`usage: gateway SETTINGS.json, or its path in ${SETTINGS_VARIABLE}`);
		return;
	}

	const settings = await readGatewaySettings(path).run();
	await settings.caseOf({
		async Left({code, message}) {
			exitWithError(`${code}: ${message}`);
		},
		async Right(checked) {
			const gateway = await startGateway({settings: checked, output: createOutputWriter({descriptor: STANDARD_OUTPUT}), codeCache});
			listenToSignals({gateway, settingsPath: path, onSignal});
		},
	});
}

function exitWithError(text: string): void {
	process.stderr.write(`${text}\n`);
	process.exitCode = BAD_SETTINGS_EXIT_CODE;
}

interface ListenOptions {
	readonly gateway: Gateway;
	readonly settingsPath: string;
	readonly onSignal: OnSignal;
}

function listenToSignals({gateway, settingsPath, onSignal}: ListenOptions): void {
	const reload = async (): Promise<void> => {
		const settings = await readGatewaySettings(settingsPath).run();
		settings.ifLeft(({code, message}) => {
			process.stderr.write(`settings not reloaded, the previous ones stay active: ${code}: ${message}\n`);
		}).ifRight(changed => {
			gateway.useSettings(changed);
		});
	};

	watchFile(settingsPath, {interval: SETTINGS_CHECK_MS, persistent: false}, () => {
		void reload();
	});
	const stop = createStop({gateway, settingsPath});
	onSignal(signal => {
		if (signal === 'SIGHUP') {
			void reload();
		} else {
			stop();
		}
	});
}

/** Creates a function that stops the gateway at its first call and does nothing at further ones. */
function createStop({gateway, settingsPath}: Omit<ListenOptions, 'onSignal'>): () => void {
	let isStopping = false;
	return () => {
		if (!isStopping) {
			isStopping = true;
			unwatchFile(settingsPath);
			void gateway.stop();
		}
	};
}
