// Runs the compiled tests of all packages, or of those whose path contains an argument.
import {readFile} from 'node:fs/promises';
import {run} from 'node:test';
import path from 'node:path';
import process from 'node:process';
import {spec} from 'node:test/reporters';
import {listPackages, listFiles} from './packages.js';

const TEST_FILE_TIMEOUT_MS = 180_000;
const CONCURRENT_FILES = 4;

const root = path.resolve(import.meta.dirname, '..');

/** Reads `KNOWN-RED.txt`: the names of tests that fail for a recorded fault, one `test: NAME` line each. */
async function readKnownRed() {
	const text = await readFile(path.join(root, 'KNOWN-RED.txt'), 'utf8');
	return new Set(text.split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
}

const filters = process.argv.slice(2);
const packages = await listPackages({root});
const lists = await Promise.all(packages.map(async directory => listFiles({directory: path.join(directory, 'lib-test'), extension: '.test.js'})));
const files = lists.flat().filter(file => filters.length === 0 || filters.some(filter => file.includes(filter)));
const knownRed = await readKnownRed();
const failures = [];
const knownFailures = [];

const stream = run({files, concurrency: CONCURRENT_FILES, timeout: TEST_FILE_TIMEOUT_MS});
stream.on('test:fail', event => {
	const isSuite = event.details?.error?.failureType === 'subtestsFailed';
	if (isSuite) {
		return;
	}

	(knownRed.has(event.name) ? knownFailures : failures).push(event.name);
});
stream.compose(new spec()).pipe(process.stdout); // eslint-disable-line new-cap
await new Promise(resolve => {
	stream.once('end', resolve);
	stream.resume?.();
});

for (const name of knownFailures) {
	process.stdout.write(`known red: ${name}\n`);
}

if (files.length === 0) {
	process.stderr.write('no test file matches\n');
	process.exitCode = 1;
} else if (failures.length > 0) {
	process.stdout.write(`failing tests:\n${failures.map(name => `  ${name}`).join('\n')}\n`);
	process.exitCode = 1;
}
