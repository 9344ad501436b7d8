// Lays a package of the workspace: `node scripts/new-package.js DOMAIN/JOB "what it does"`.
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';

const [location, description] = process.argv.slice(2);
if (!location?.includes('/') || !description) {
	process.stderr.write('usage: node scripts/new-package.js DOMAIN/JOB "what it does"\n');
	process.exit(2);
}

const [domain, job] = location.split('/');
const name = `@pomelopick/${domain}.${job}`;
const directory = path.resolve(import.meta.dirname, '..', domain, job);
const manifest = {
	name,
	version: '0.1.0',
	private: domain === 'testing' ? true : undefined,
	description,
	license: 'Apache-2.0',
	type: 'module',
	exports: {'.': {types: './src/index.ts', default: './lib/index.js'}},
	files: ['lib', 'src'],
};
await mkdir(path.join(directory, 'src'), {recursive: true});
await mkdir(path.join(directory, 'test'), {recursive: true});
await writeFile(path.join(directory, 'package.json'), `${JSON.stringify(manifest, undefined, '\t')}\n`);
await writeFile(path.join(directory, 'README.md'), `# ${name}\n\n${description}\n`);
