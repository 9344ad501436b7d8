/** A process that loads what control needs and does nothing: its memory over a bare process is that of control's code. */
import process from 'node:process';
import {limitHeap} from '@pomelopick/daemons.entry/limit-heap';

const KEEP_ALIVE_MS = 1000;
const CONTROL_PACKAGES = [
	'@pomelopick/config.distribution',
	'@pomelopick/peer.membership',
	'@pomelopick/peer.transport',
	'@pomelopick/platform.store',
	'@pomelopick/steering.lookup',
];

limitHeap();
await Promise.all(CONTROL_PACKAGES.map(async name => import(name) as Promise<unknown>));
process.stdout.write('{}\n');
setInterval(() => undefined, KEEP_ALIVE_MS);
