/** Runs one entry instance with a named way of placement: `node entry-main.js SETTINGS.json POLICY`. */
import process from 'node:process';
import {readSettings} from '@pomelopick/config.settings';
import {startEntry} from '@pomelopick/daemons.entry';
import {policies} from './baselines.js';

const [path = '', policy = 'owner'] = process.argv.slice(2);
const read = await readSettings(path).run();
const settings = read.unsafeCoerce();
const started = await startEntry({settings, createPlacement: policies[policy]!});
const daemon = started.unsafeCoerce();
process.stdout.write(`${JSON.stringify({instance: settings.instance, ...daemon.endpoints})}\n`);
process.once('SIGTERM', () => {
	void daemon.stop();
});
