import assert from 'node:assert/strict';
import {access, readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));
const LINK = /\]\((?<target>[^)#\s]+)(?:#[^)]*)?\)/gu;
const SOURCE_PATH = /`(?<target>(?:core|config|platform|peer|steering|calls|daemons|cli|testing)\/[\w./-]+)`/gu;

async function isMissing(file: string): Promise<boolean> {
	try {
		await access(file);
		return false;
	} catch {
		return true;
	}
}

async function listPages(): Promise<string[]> {
	const entries = await readdir(path.join(ROOT, 'docs'), {recursive: true, withFileTypes: true});
	return [path.join(ROOT, 'README.md'), ...entries.filter(entry => entry.name.endsWith('.md')).map(entry => path.join(entry.parentPath, entry.name))];
}

describe('the documentation', () => {
	it('links to and names only files that exist', async () => {
		const missing: string[] = [];
		for (const page of await listPages()) {
			const text = await readFile(page, 'utf8');
			const links = [...text.matchAll(LINK)].map(({groups}) => groups!.target!).filter(target => !target.includes('://')).map(target => path.resolve(path.dirname(page), target));
			const sources = [...text.matchAll(SOURCE_PATH)].map(({groups}) => path.join(ROOT, groups!.target!));
			for (const file of [...links, ...sources]) {
				if (await isMissing(file)) {
					missing.push(`${path.relative(ROOT, page)}: ${path.relative(ROOT, file)}`);
				}
			}
		}

		assert.deepEqual(missing, []);
	});
});
