/** Writes the committed examples and schemas, and a set of the planned size to FILE: `npm run examples [-- FILE [SEED]]`. */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {formatJson, listExampleFiles} from './files.js';
import {createPlannedSet} from './planned-set.js';

const DEFAULT_FILE = 'results/planned-size.json';
const DEFAULT_SEED = 1;
const USAGE_EXIT_CODE = 2;

const [plannedFile = DEFAULT_FILE, seedText = String(DEFAULT_SEED)] = process.argv.slice(2);
const seed = Number(seedText);
if (Number.isSafeInteger(seed)) {
	const packageDirectory = fileURLToPath(new URL('..', import.meta.url));
	for (const {path: file, content} of listExampleFiles()) {
		await write({file: path.join(packageDirectory, file), content});
	}

	await write({file: path.resolve(plannedFile), content: formatJson(createPlannedSet({seed}))});
} else {
	process.stderr.write(`SEED: expected a whole number, found ${JSON.stringify(seedText)}\n`);
	process.exitCode = USAGE_EXIT_CODE;
}

async function write({file, content}: {readonly file: string; readonly content: string}): Promise<void> {
	await mkdir(path.dirname(file), {recursive: true});
	await writeFile(file, content);
	process.stdout.write(`${path.relative(process.cwd(), file)}\n`);
}
