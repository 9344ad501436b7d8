import assert from 'node:assert/strict';
import {execFile, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	cp, mkdir, mkdtemp, readFile, rm, truncate, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {
	after, before, describe, it,
} from 'node:test';
import {promisify} from 'node:util';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startRawServer, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, StartRawServerOptions} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {REPOSITORY_ROOT} from '@pomelopick/testing.repository';

const KILOBYTE = 1024;
const COMPILED = 'program.cjs.compiled';
const DEPLOY_FLAGS_PATTERN = /^run = "node (?<flags>.*) target\/gateway\.cjs"$/mu;

/** Flips one bit in every kilobyte behind the engine's own header. */
async function damageEverywhere(compiledPath: string): Promise<void> {
	const content = await readFile(compiledPath);
	for (let position = KILOBYTE; position < content.length; position += KILOBYTE) {
		content[position]! ^= 1; // eslint-disable-line no-bitwise
	}

	await writeFile(compiledPath, content);
}

function findRequestLine(lines: readonly unknown[]): {readonly totalMs: number; readonly allowedMs: number} | undefined {
	return (lines as ReadonlyArray<{readonly event: string; readonly totalMs: number; readonly allowedMs: number}>).find(({event}) => event === 'request');
}

describe('the bundle as a process', () => {
	let directory: string;
	let flags: readonly string[];
	let fleet: GatewayFleet;
	before(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-bundle-'));
		await promisify(execFile)(process.execPath, [path.join(REPOSITORY_ROOT, 'scripts/bundle.js'), path.join(directory, 'whole')]);
		const deployFile = await readFile(path.join(REPOSITORY_ROOT, 'deploy/system.toml'), 'utf8');
		flags = DEPLOY_FLAGS_PATTERN.exec(deployFile)!.groups!.flags!.split(' ');
		fleet = await startGatewayFleet();
	});
	after(async () => {
		await fleet.stop();
		await rm(directory, {recursive: true});
	});

	interface StartOptions {
		readonly bundle: string;
		readonly engineFlags: readonly string[];
		/** Called while the bundle is ready, with its settings and its log so far. */
		readonly whenReady?: (settings: GatewaySettingsInput, lines: readonly unknown[]) => Promise<void>;
	}

	/** Starts the bundle and stops it; returns the use of the code cache that it logged. */
	const start = async ({bundle, engineFlags, whenReady}: StartOptions): Promise<unknown> => {
		const settings = await fleet.settings();
		const settingsPath = path.join(bundle, 'settings.json');
		await writeFile(settingsPath, JSON.stringify(settings));
		const child = spawn(process.execPath, [...engineFlags, path.join(bundle, 'gateway.cjs'), settingsPath], {stdio: ['ignore', 'pipe', 'inherit']});
		const exited = once(child, 'exit');
		const lines: Array<Readonly<Record<string, unknown>>> = [];
		createInterface({input: child.stdout}).on('line', line => {
			lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>);
		});
		try {
			await until(async () => isReady(settings));
			await whenReady?.(settings, lines);
		} finally {
			child.kill('SIGTERM');
		}

		assert.deepEqual(await exited, [0, null]);
		return lines.find(({event}) => event === 'started')?.codeCache;
	};

	interface BundleCase {
		readonly name: string;
		readonly damage: (compiledPath: string) => Promise<void>;
		readonly extraFlags: readonly string[];
		readonly expected: string;
	}
	const cases: readonly BundleCase[] = [
		{
			name: 'from its code cache with the flags of the deploy file', async damage() {/* Nothing is damaged. */}, extraFlags: [], expected: 'used',
		},
		{
			name: 'without a code cache', damage: async compiledPath => rm(compiledPath), extraFlags: [], expected: 'missing',
		},
		{
			name: 'with a truncated code cache', damage: async compiledPath => truncate(compiledPath, 5000), extraFlags: [], expected: 'refused',
		},
		{
			name: 'with a code cache that is damaged anywhere', damage: damageEverywhere, extraFlags: [], expected: 'refused',
		},
		{
			name: 'with a code cache that cannot be read', async damage(compiledPath) {
				await rm(compiledPath);
				await mkdir(compiledPath);
			}, extraFlags: [], expected: 'refused',
		},
		{
			name: 'with other engine flags', async damage() {/* Nothing is damaged. */}, extraFlags: ['--max-lazy'], expected: 'refused',
		},
	];
	const check = async ({damage, extraFlags, expected}: BundleCase): Promise<void> => {
		const bundle = await mkdtemp(path.join(directory, 'case-'));
		await cp(path.join(directory, 'whole'), bundle, {recursive: true});
		await damage(path.join(bundle, COMPILED));
		assert.equal(await start({bundle, engineFlags: [...flags, ...extraFlags]}), expected);
	};

	for (const bundleCase of cases) {
		it(`becomes ready and stops ${bundleCase.name}`, async () => check(bundleCase));
	}

	// Statuses below 100 are refused before the library asserts anything of them, but not in health responses.
	const assertions: ReadonlyArray<{name: string} & Pick<StartRawServerOptions, 'onRequest' | 'healthResponse'>> = [
		{
			name: 'a response', onRequest({socket, requestId}) {
				socket.write(`HTTP/1.1 099 Odd\r\nx-request-id: ${requestId}\r\ncontent-length: 0\r\n\r\n`);
			},
		},
		{
			name: 'a health response', healthResponse: 'HTTP/1.1 099 Odd\r\ncontent-length: 0\r\n\r\n', onRequest({socket}) {
				socket.resetAndDestroy();
			},
		},
	];
	const checkAssertion = async ({name, ...behaviour}: typeof assertions[number]): Promise<void> => {
		const server = await startRawServer({name: 'odd', ...behaviour});
		for (const {name} of fleet.servers) {
			fleet.platform.keyValues.delete({key: `servers/${name}`});
		}

		fleet.register({server, failureDomain: 'north-a'});
		await start({
			bundle: path.join(directory, 'whole'), engineFlags: flags, async whenReady(settings, lines) {
				const {status} = await callGateway({endpoint: endpointOf(settings.listen.callers)});
				assert.equal(status, 502);
				await until(() => findRequestLine(lines) !== undefined);
				const {totalMs, allowedMs} = findRequestLine(lines)!;
				assert.ok(totalMs < allowedMs, `${totalMs} ms`);
			},
		});
		await server.stop();
	};

	// Without a message, the runtime blocks the process for seconds to read the failed expression from the bundle.
	for (const assertion of assertions) {
		it(`fails a request within its time when a server breaks an assertion of the HTTP library by ${assertion.name}`, async () => checkAssertion(assertion));
	}

	// The version is read from internal fields of the HTTP library, which the bundle holds in a reduced form.
	it('refuses a response of another version of HTTP', async t => {
		const server = await startRawServer({
			name: 'other-version', onRequest({socket, requestId}) {
				socket.write(`HTTP/2.0 200 OK\r\nx-request-id: ${requestId}\r\nx-server-stamp: a\r\ncontent-length: 0\r\n\r\n`);
			},
		});
		t.after(async () => server.stop());
		for (const {key} of ['odd', ...fleet.servers.map(({name}) => name)].map(name => ({key: `servers/${name}`}))) {
			fleet.platform.keyValues.delete({key});
		}

		fleet.register({server, failureDomain: 'north-a'});
		await start({
			bundle: path.join(directory, 'whole'), engineFlags: flags, async whenReady(settings) {
				const {status, text} = await callGateway({
					endpoint: endpointOf(settings.listen.callers), path: '/write/x', method: 'POST', body: 'x',
				});
				assert.equal(status, 502);
				assert.match(text, /found HTTP\/2\.0/u);
			},
		});
	});
});
