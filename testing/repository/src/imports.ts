/** Reads which source file imports which, type imports included. */
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Graph} from './cycles.js';

/** Folder of the repository. */
export const REPOSITORY_ROOT = fileURLToPath(new URL('../../..', import.meta.url));

const PACKAGE_FOLDERS = ['calls', 'cli', 'config', 'core', 'daemons', 'peer', 'platform', 'steering', 'testing'];
/** The text after `from`, of an import or an export, and the text of an import without names or of a dynamic one. */
const IMPORT_PATTERN = /(?:\bfrom\s+|\bimport\s*\(?\s*)'(?<target>[^']+)'/gu;
const OWN_PACKAGE_PATTERN = /^@pomelopick\/(?<folder>[^.]+)\.(?<job>[^/]+)/u;

/** Imports between files of one package, and between packages. */
export interface Imports {
	/** Paths from the root. */
	readonly files: Graph;
	/** Packages as `FOLDER/JOB`. */
	readonly packages: Graph;
}

/** Reads the imports of all packages' `src` folders. */
export async function readImports({root}: {readonly root: string}): Promise<Imports> {
	const files = new Map<string, Set<string>>();
	const packages = new Map<string, Set<string>>();
	for (const file of await listSourceFiles({root})) {
		const owner = file.split('/').slice(0, 2).join('/');
		const fileTargets = new Set<string>();
		const packageTargets = packages.get(owner) ?? new Set<string>();
		for (const target of listTargets(await readFile(path.join(root, file), 'utf8'))) {
			const {folder, job} = OWN_PACKAGE_PATTERN.exec(target)?.groups ?? {};
			if (folder !== undefined) {
				packageTargets.add(`${folder}/${job}`);
			} else if (target.startsWith('.')) {
				fileTargets.add(path.posix.join(path.posix.dirname(file), target.replace(/\.js$/u, '.ts')));
			}
		}

		files.set(file, fileTargets);
		packages.set(owner, packageTargets);
	}

	return {files, packages};
}

function listTargets(source: string): readonly string[] {
	return [...source.matchAll(IMPORT_PATTERN)].map(({groups}) => groups!.target!);
}

async function listSourceFiles({root}: {readonly root: string}): Promise<readonly string[]> {
	const lists = await Promise.all(PACKAGE_FOLDERS.map(async folder => {
		const jobs = await readdir(path.join(root, folder));
		const names = await Promise.all(jobs.map(async job => listTypeScript({root, folder: path.posix.join(folder, job, 'src')})));
		return names.flat();
	}));
	return lists.flat().sort();
}

async function listTypeScript({root, folder}: {readonly root: string; readonly folder: string}): Promise<readonly string[]> {
	const names = await readdir(path.join(root, folder), {recursive: true});
	return names.filter(name => name.endsWith('.ts')).map(name => path.posix.join(folder, name));
}
