/** Runs one entry instance: `node main.js SETTINGS.json`. SIGTERM and SIGINT stop it gracefully. */
import process from 'node:process';
import {readSettings} from '@pomelopick/config.settings';
import {collectGarbage, limitHeap} from './limit-heap.js';

const BAD_SETTINGS_EXIT_CODE = 2;

limitHeap();
const {startEntry} = await import('./entry.js');

const [path] = process.argv.slice(2);
if (path === undefined) {
	process.stderr.write('usage: entry SETTINGS.json\n');
	process.exitCode = BAD_SETTINGS_EXIT_CODE;
} else {
	const settings = await readSettings(path).run();
	await settings.caseOf({
		async Left(error) {
			process.stderr.write(`${error.code}: ${error.message}\n`);
			process.exitCode = BAD_SETTINGS_EXIT_CODE;
		},
		async Right(checked) {
			const daemon = await startEntry({settings: checked, onFirstVersion: collectGarbage});
			process.stdout.write(`${JSON.stringify({instance: checked.instance, ...daemon.endpoints})}\n`);
			for (const signal of ['SIGTERM', 'SIGINT'] as const) {
				process.once(signal, () => {
					void daemon.stop();
				});
			}
		},
	});
}
