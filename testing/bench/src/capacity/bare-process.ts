/** A Node process that does nothing; its memory is the yardstick for what the system adds. */
import process from 'node:process';

const KEEP_ALIVE_MS = 1000;

process.stdout.write('{}\n');
setInterval(() => undefined, KEEP_ALIVE_MS);
