import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {describe, it} from 'node:test';
import {REPOSITORY_ROOT} from '@pomelopick/testing.repository';

/** Folders of the product outside the adapter. */
const folders = ['core', 'config', 'peer', 'steering', 'calls', 'daemons', 'cli'];
/** Names of the platform's wire. */
const names = new RegExp([
	String.raw`pomelopick/(?:kv-|ready|resolve)`,
	'warmup-left',
	'op/(?:config|evacuate)',
	'x-expect-instance',
	'x-affinity-key',
	'x-server-stamp',
	'x-not-executed',
	'server-leaving',
	'server-limit',
	'x-deadline-ms',
	'traffic-split',
	'home-regions',
	'non_idempotent',
	'POMELOPICK_SETTINGS',
].join('|'), 'iu');

describe('names of the platform', () => {
	for (const folder of folders) {
		it(`are not known in ${folder}/`, async () => {
			const entries = await readdir(path.join(REPOSITORY_ROOT, folder), {recursive: true, withFileTypes: true});
			const sources = entries.filter(entry => entry.isFile() && entry.name.endsWith('.ts') && entry.parentPath.includes(`${path.sep}src`) && !entry.parentPath.includes('node_modules'));
			assert.ok(sources.length > 3, `only ${sources.length} sources were read`);
			const found = await Promise.all(sources.map(async ({parentPath, name}) => {
				const text = await readFile(path.join(parentPath, name), 'utf8');
				return names.test(text) ? [`${path.relative(REPOSITORY_ROOT, path.join(parentPath, name))}: ${names.exec(text)![0]}`] : [];
			}));
			assert.deepEqual(found.flat(), []);
		});
	}
});
