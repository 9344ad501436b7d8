// Compiles every package: `src` to `lib` and `test` to `lib-test`. Types are checked separately by tsc.
import {rm} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {listPackages, listFiles} from './packages.js';

const root = path.resolve(import.meta.dirname, '..');

async function compile({packageDirectory, from, to}) {
	const source = path.join(packageDirectory, from);
	const target = path.join(packageDirectory, to);
	await rm(target, {recursive: true, force: true});
	const entryPoints = await listFiles({directory: source, extension: '.ts'});
	if (entryPoints.length === 0) {
		return 0;
	}

	await build({
		entryPoints,
		outbase: source,
		outdir: target,
		format: 'esm',
		platform: 'node',
		target: 'node20',
		sourcemap: true,
		logLevel: 'error',
	});
	return entryPoints.length;
}

const packages = await listPackages({root});
const counts = await Promise.all(packages.flatMap(packageDirectory => [
	compile({packageDirectory, from: 'src', to: 'lib'}),
	compile({packageDirectory, from: 'test', to: 'lib-test'}),
]));
process.stdout.write(`compiled ${counts.reduce((sum, count) => sum + count, 0)} files in ${packages.length} packages\n`);
