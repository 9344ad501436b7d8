// Bundles the gateway into a minified program with nothing in it that it does not use: `node scripts/bundle.js [DIRECTORY]`.
// Writes to `target/` unless a directory is named, and prints which libraries went in.
import {execFile} from 'node:child_process';
import {readFile, rm} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {build} from 'esbuild';
import {readGatewayFlags} from './gateway-flags.js';
import {listPackages} from './packages.js';

const root = path.resolve(import.meta.dirname, '..');
const directory = path.resolve(process.argv[2] ?? path.join(root, 'target'));

/** Leads imports of the workspace's packages to their sources, which need not be compiled first. */
async function createSourcePlugin() {
	const packages = await listPackages({root});
	const sources = new Map(await Promise.all(packages.map(async directory => {
		const {name} = JSON.parse(await readFile(path.join(directory, 'package.json'), 'utf8'));
		return [name, path.join(directory, 'src/index.ts')];
	})));
	return {
		name: 'workspace-sources',
		setup({onResolve}) {
			// The bundler reads filters as Go's expressions, which have no flag for Unicode.
			onResolve({filter: /^@pomelopick\//}, ({path: name}) => ({path: sources.get(name), sideEffects: false}));
		},
	};
}

/** Leaves the parts of undici out that serve `fetch`, caches and WebSockets: they double the time to start. */
const undiciCore = {
	name: 'undici-core',
	setup({onResolve}) {
		onResolve({filter: /^undici$/}, () => ({path: path.join(root, 'scripts/undici-core.js')}));
	},
};

/** Leaves parts of libraries out that load modules of the runtime which the gateway does not use otherwise. */
const unusedParts = {
	name: 'unused-parts',
	setup({onResolve}) {
		const standIn = path.join(root, 'scripts/unused-part.js');
		onResolve({filter: /^\.\/client-h2\.js$/}, ({importer}) => importer.includes('/undici/') ? {path: standIn} : undefined);
		onResolve({filter: /^\.\/lib\/(?:cluster|pushgateway)$/}, ({importer}) => importer.includes('/prom-client/') ? {path: standIn} : undefined);
	},
};

/** Gives assertions of libraries a message, so that a failed one does not make the runtime parse the bundle. */
const assertionMessages = {
	name: 'assertion-messages',
	setup({onResolve}) {
		const standIn = path.join(root, 'scripts/library-assert.cjs');
		onResolve({filter: /^(?:node:)?assert$/}, ({importer}) => importer.includes('/node_modules/') ? {path: standIn} : undefined);
	},
};

await rm(directory, {recursive: true, force: true});
const {metafile} = await build({
	entryPoints: {
		gateway: path.join(root, 'daemons/gateway/src/bundle-main.ts'),
		program: path.join(root, 'daemons/gateway/src/run-gateway.ts'),
		'write-code-cache': path.join(root, 'daemons/gateway/src/write-code-cache.ts'),
	},
	outdir: directory,
	metafile: true,
	outExtension: {'.js': '.cjs'},
	bundle: true,
	// Identifiers stay as they are, so that stack traces are readable. With shortened ones, the bundler would set the name of each
	// function that is created, also of those that are created for each request.
	minifyWhitespace: true,
	minifySyntax: true,
	// The engine keeps compiled code of scripts alone, not of modules.
	format: 'cjs',
	platform: 'node',
	target: 'node20',
	logLevel: 'warning',
	plugins: [await createSourcePlugin(), undiciCore, unusedParts, assertionMessages],
});
const flags = await readGatewayFlags({root});
await promisify(execFile)(process.execPath, [...flags, path.join(directory, 'write-code-cache.cjs'), path.join(directory, 'program.cjs')]);

/** Names of the libraries of which a part went into the output. */
function listLibraries() {
	const inputs = Object.values(metafile.outputs).flatMap(({inputs}) => Object.keys(inputs));
	const names = inputs.map(input => /node_modules\/(?<name>(?:@[^/]+\/)?[^/]+)/u.exec(input)?.groups.name);
	return [...new Set(names.filter(Boolean))].toSorted();
}

const bytes = Object.values(metafile.outputs).reduce((sum, output) => sum + output.bytes, 0);
process.stdout.write(`bundled ${path.relative(root, directory)}/gateway.cjs, ${bytes} bytes, with ${listLibraries().join(', ')}\n`);
