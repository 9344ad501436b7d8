/** Reads the settings, runs the gateway and acts on signals. */
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
/** Time between two looks at the settings file, in milliseconds. */
const SETTINGS_CHECK_MS = 2000;

/** Options of {@link runGateway}. */
export interface RunGatewayOptions {
	readonly onSignal: OnSignal;
	/** Whether the program was started from compiled code, for the log; by default it was not. */
	readonly codeCache?: CodeCacheUse;
}

/** Runs a gateway with the settings of the environment's file, or of the file that the command line names. */
export async function runGateway({onSignal, codeCache}: RunGatewayOptions): Promise<void> {
	const path = process.env[SETTINGS_VARIABLE] ?? process.argv[2];
	if (path === undefined) {
		endWithFault(`usage: gateway SETTINGS.json, or its path in ${SETTINGS_VARIABLE}`);
		return;
	}

	const settings = await readGatewaySettings(path).run();
	await settings.caseOf({
		async Left({code, message}) {
			endWithFault(`${code}: ${message}`);
		},
		async Right(checked) {
			const gateway = await startGateway({settings: checked, output: createOutputWriter({descriptor: STANDARD_OUTPUT}), codeCache});
			listenToSignals({gateway, settingsPath: path, onSignal});
		},
	});
}

function endWithFault(text: string): void {
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
			process.stderr.write(`settings stay as they were; ${code}: ${message}\n`);
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

/** Stops once, however often it is asked. */
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
