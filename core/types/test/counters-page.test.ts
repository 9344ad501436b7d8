import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {hedgeReasons, refusalReasons, retryReasons} from '@pomelopick/core.types';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));
const ROW = /^\| `(?<name>[^`]+)` \| (?<meaning>[^|]+) \| (?<action>[^|]+) \|$/gmu;
const LITERAL_COUNTER = /\b(?:counters\.add|count)\(\s*(?<arguments>[^;]*?)\);/gu;
const QUOTED = /'(?<name>[a-z][a-z.-]+)'/gu;

/** Names in the table below the heading that starts with the given text. */
async function readRows(heading: string): Promise<Set<string>> {
	const page = await readFile(path.join(ROOT, 'docs/operations/counters.md'), 'utf8');
	const section = page.split('\n## ').find(part => part.startsWith(heading)) ?? '';
	return new Set([...section.matchAll(ROW)].map(({groups}) => groups!.name!));
}

/** Names of counters that occur as literals in the sources. */
async function listLiteralCounters(): Promise<string[]> {
	const folders = ['core', 'config', 'platform', 'peer', 'steering', 'calls', 'daemons'];
	const entries = await Promise.all(folders.map(async folder => readdir(path.join(ROOT, folder), {recursive: true, withFileTypes: true})));
	const files = entries.flat().filter(entry => entry.isFile() && entry.name.endsWith('.ts') && /\/src(?:\/|$)/u.test(entry.parentPath));
	const texts = await Promise.all(files.map(async entry => readFile(path.join(entry.parentPath, entry.name), 'utf8')));
	return texts.flatMap(text => [...text.matchAll(LITERAL_COUNTER)].flatMap(({groups}) => [...groups!.arguments!.matchAll(QUOTED)].map(quoted => quoted.groups!.name!)));
}

const sections: ReadonlyArray<{heading: string; prefix: string; reasons: readonly string[]}> = [
	{heading: 'Refusals', prefix: 'refusal.', reasons: refusalReasons},
	{heading: 'Retries', prefix: 'retry.', reasons: retryReasons},
	{heading: 'Hedges', prefix: 'hedge.', reasons: hedgeReasons},
];

describe('the documentation of the counters', () => {
	for (const {heading, reasons} of sections) {
		it(`has a row for each reason: ${heading}`, async () => {
			const rows = await readRows(heading);
			assert.deepEqual(reasons.filter(reason => !rows.has(reason)), []);
		});
	}

	it('has a row for each counter name in the sources', async () => {
		const sectionRows = await Promise.all(sections.map(async ({heading, prefix}) => {
			const rows = await readRows(heading);
			return [...rows].map(name => prefix + name);
		}));
		const documented = new Set([...await readRows('Other counters'), ...sectionRows.flat()]);
		const found = await listLiteralCounters();
		assert.ok(found.length > 0, 'no counter was found in the sources');
		assert.deepEqual(found.filter(name => !documented.has(name)), []);
	});
});
