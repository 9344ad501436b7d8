import process from 'node:process';
import {Command, Option} from 'clipanion';
import {readSettings} from '@pomelopick/config.settings';
import type {Settings} from '@pomelopick/config.settings';
import {collectGarbage, limitHeap} from '@pomelopick/daemons.entry/limit-heap';
import {exitCodes, PomelopickCommand} from '../context.js';

/** `pomelopick entry SETTINGS`: runs one entry instance until SIGTERM. */
export class EntryCommand extends PomelopickCommand {
	static override paths = [['entry']];
	static override usage = Command.Usage({
		description: 'Run an entry instance',
		details: 'Reads the settings, starts the instance and runs until SIGTERM or SIGINT; before it exits, calls in progress finish.',
		examples: [['Run an instance', '$0 entry settings.json']],
	});

	settings = Option.String({name: 'SETTINGS'});

	async execute(): Promise<number> {
		const settings = await readSettings(this.settings).run();
		return settings.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async checked => this.#run(checked),
		});
	}

	async #run(settings: Settings): Promise<number> {
		limitHeap();
		// Imported only here, so that the other commands start without loading the daemon's libraries.
		const {FatalErrors, guardOutputs} = await import('@pomelopick/core.telemetry');
		guardOutputs();
		const fatalErrors = new FatalErrors();
		fatalErrors.use({common: {instance: settings.instance, failureDomain: settings.failureDomain}});
		const {startEntry} = await import('@pomelopick/daemons.entry');
		const stopping = new AbortController();
		const stopped = new Promise<void>(resolve => {
			stopping.signal.addEventListener('abort', () => {
				resolve();
			});
		});
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.once(signal, () => {
				stopping.abort();
			});
		}

		const started = await startEntry({
			settings,
			onFirstVersion: collectGarbage,
			stopSignal: stopping.signal,
			onListenerWaits: ({listener, detail}) => {
				this.context.stderr.write(`listen.${listener}: waiting: ${detail}\n`);
			},
		});
		return started.caseOf<Promise<number>>({
			Left: async error => error.code === 'bind-stopped' ? exitCodes.success : this.fail({error, exitCode: exitCodes.usage}),
			Right: async daemon => {
				fatalErrors.use({
					describe: () => ({phase: 'running', inProgress: daemon.countCalls()}), stop: async () => daemon.stop(),
				});
				this.context.stdout.write(`${JSON.stringify({instance: settings.instance, ...daemon.endpoints})}\n`);
				await stopped;
				await daemon.stop();
				return exitCodes.success;
			},
		});
	}
}
