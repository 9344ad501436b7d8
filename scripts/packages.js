// Finds the packages of the workspace and the files in them.
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';

/** Lists the directories of all workspace packages, sorted. */
export async function listPackages({root}) {
	const manifest = JSON.parse(await readFile(path.join(root, 'package.json'), 'utf8'));
	const found = await Promise.all(manifest.workspaces.map(async pattern => {
		const folder = path.join(root, path.dirname(pattern));
		const names = await readDirectory(folder);
		return names.filter(entry => entry.isDirectory()).map(entry => path.join(folder, entry.name));
	}));
	return found.flat().sort();
}

/** Lists the files below a directory that end in the extension, sorted; none when there is no such directory. */
export async function listFiles({directory, extension}) {
	const entries = await readDirectory(directory, {recursive: true});
	return entries
		.filter(entry => entry.isFile() && entry.name.endsWith(extension))
		.map(entry => path.join(entry.parentPath ?? entry.path, entry.name))
		.sort();
}

async function readDirectory(directory, options = {}) {
	try {
		return await readdir(directory, {...options, withFileTypes: true});
	} catch (error) {
		if (error.code === 'ENOENT') {
			return [];
		}

		throw error;
	}
}
