/** Runs one entry instance: `node main.js SETTINGS.json`. SIGTERM and SIGINT stop it gracefully. */
import process from 'node:process';
import {readSettings} from '@pomelopick/config.settings';
import {FatalErrors, guardOutputs, writeError} from '@pomelopick/core.telemetry';
import {collectGarbage, limitHeap} from './limit-heap.js';

const BAD_SETTINGS_EXIT_CODE = 2;

limitHeap();
guardOutputs();
const fatalErrors = new FatalErrors();
const {startEntry} = await import('./entry.js');

const [path] = process.argv.slice(2);
if (path === undefined) {
	writeError('usage: entry SETTINGS.json\n');
	process.exitCode = BAD_SETTINGS_EXIT_CODE;
} else {
	const settings = await readSettings(path).run();
	await settings.caseOf({
		async Left(error) {
			writeError(`${error.code}: ${error.message}\n`);
			process.exitCode = BAD_SETTINGS_EXIT_CODE;
		},
		async Right(checked) {
			const stopping = new AbortController();
			for (const signal of ['SIGTERM', 'SIGINT'] as const) {
				process.once(signal, () => {
					stopping.abort();
				});
			}

			fatalErrors.use({common: {instance: checked.instance, failureDomain: checked.failureDomain}});
			const started = await startEntry({
				settings: checked,
				onFirstVersion: collectGarbage,
				stopSignal: stopping.signal,
				onListenerWaits({listener, detail}) {
					writeError(`listen.${listener}: waiting: ${detail}\n`);
				},
			});
			started.ifLeft(({code, message}) => {
				if (code === 'bind-refused') {
					writeError(`${code}: ${message}\n`);
					process.exitCode = BAD_SETTINGS_EXIT_CODE;
				}
			}).ifRight(daemon => {
				process.stdout.write(`${JSON.stringify({instance: checked.instance, ...daemon.endpoints})}\n`);
				fatalErrors.use({
					describe: () => ({phase: 'running', inProgress: daemon.countCalls()}), stop: async () => daemon.stop(),
				});
				whenAborted(stopping.signal, () => {
					void daemon.stop();
				});
			});
		},
	});
}

/** Calls a function once, now if the signal is already aborted. */
function whenAborted(signal: AbortSignal, run: () => void): void {
	if (signal.aborted) {
		run();
	} else {
		signal.addEventListener('abort', run, {once: true});
	}
}
