import assert from 'node:assert/strict';
import {access, readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {describe, it} from 'node:test';
import {
	findCycles, listNamedFiles, readImports, REPOSITORY_ROOT,
} from '@pomelopick/testing.repository';

const graphs: ReadonlyArray<{name: string; edges: Readonly<Record<string, readonly string[]>>; cycles: ReadonlyArray<readonly string[]>}> = [
	{name: 'none in a tree', edges: {a: ['b', 'c'], b: ['d'], c: ['d']}, cycles: []},
	{name: 'a node that leads to itself', edges: {a: ['a']}, cycles: [['a', 'a']]},
	{name: 'a cycle behind another node', edges: {a: ['b'], b: ['c'], c: ['b']}, cycles: [['b', 'c', 'b']]},
	{
		name: 'two cycles apart', edges: {
			a: ['b'], b: ['a'], c: ['d'], d: ['c'],
		}, cycles: [['a', 'b', 'a'], ['c', 'd', 'c']],
	},
];

describe('findCycles', () => {
	for (const {name, edges, cycles} of graphs) {
		it(`finds ${name}`, () => {
			assert.deepEqual(findCycles(new Map(Object.entries(edges).map(([node, targets]) => [node, new Set(targets)]))), cycles);
		});
	}
});

describe('imports', () => {
	for (const level of ['files', 'packages'] as const) {
		it(`form no cycle between ${level}`, async () => {
			const imports = await readImports({root: REPOSITORY_ROOT});
			assert.ok(imports[level].size > 30, `only ${imports[level].size} ${level} were read`);
			assert.deepEqual(findCycles(imports[level]).map(cycle => cycle.join(' -> ')), []);
		});
	}
});

describe('pages', () => {
	const pages = ['README.md', 'docs/ARCHITECTURE.md', 'docs/GLOSSARY.md', 'docs/GUARANTEES.md', 'docs/WALKTHROUGH.md', 'docs/CAPACITY.md', 'docs/operations/README.md', 'docs/operations/start.md'];
	for (const page of pages) {
		it(`${page} names only files that are there`, async () => {
			const folders = new Set(await readdir(REPOSITORY_ROOT));
			const {paths, links} = listNamedFiles({page: await readFile(path.join(REPOSITORY_ROOT, page), 'utf8'), isFolder: name => folders.has(name)});
			const named = [...paths, ...links.map(link => path.join(path.dirname(page), link))];
			const found = await Promise.all(named.map(async name => isThere(path.join(REPOSITORY_ROOT, name))));
			assert.deepEqual(named.filter((_, index) => !found[index]), []);
		});
	}
});

async function isThere(file: string): Promise<boolean> {
	try {
		await access(file);
		return true;
	} catch {
		return false;
	}
}
