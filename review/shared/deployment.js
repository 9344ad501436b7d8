// A small deployment on loopback addresses: the platform's store, servers and gateways. Gateways run as processes, with the command of the deploy file.
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {startPlatformStandIn} from '../../testing/platform-stand-in/lib/index.js';
import {record} from './record.js';

const root = path.resolve(import.meta.dirname, '../..');
const RUN_PATTERN = /^run = "(?<command>[^"]+)"$/mu;
const HEARTBEAT_MS = 1500;
const START_TIMEOUT_MS = 15_000;
const STOP_TIMEOUT_MS = 8000;
const POLL_MS = 20;
const REGIONS = {'north-a': 'north', 'north-b': 'north', 'south-a': 'south'};

/** Host of all routes. */
export const HOST = 'review.example';
/** Bounds that the deployment's settings hold, in seconds. */
export const BOUNDS = {graceSeconds: 6, contactSeconds: 3};
const LIMITS = {
	'max-header-bytes': 16_384, 'max-body-bytes': 1_000_000, 'header-timeout-s': 3, 'idle-timeout-s': 15,
};
const ROUTE_COLUMNS = ['name', 'host', 'prefix', 'kind', 'timeout-s', 'target-latency-s', 'priority', 'traffic-split', 'max-attempts', 'sticky', 'home-regions', 'service'];

/** Returns a free port of a loopback address. */
export async function freePort(address) {
	const server = createServer();
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, address, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

/** Waits for a condition; returns whether it was met in time. */
export async function isMetWithin({condition, timeoutMs = START_TIMEOUT_MS}) {
	const endMs = Date.now() + timeoutMs;
	while (!await condition()) {
		if (Date.now() > endMs) {
			return false;
		}

		await sleep(POLL_MS);
	}

	return true;
}

/** Waits for a condition; rejects if it is not met in time. */
export async function until({name, ...options}) {
	if (!await isMetWithin(options)) {
		throw new Error(`not met in time: ${name}`);
	}
}

/** The store, servers and gateways of one case. */
export class Deployment {
	#platform;
	#heartbeats = new Map();
	#timers = [];
	#servers = [];
	#children = new Set();
	#directories = [];
	#gatewayCount = 0;

	/** Starts the store and writes the first configuration. */
	async start({timeoutSeconds = 4, maxAttempts = 2} = {}) {
		this.#platform = await startPlatformStandIn({limits: {readsPerSecond: 2000, writesPerSecond: 400}});
		this.write('op/config', createConfiguration({version: 1, timeoutSeconds, maxAttempts}));
	}

	/** Switches of the store's faults, such as `outage`. */
	get storeFaults() {
		return this.#platform.faults;
	}

	/** Writes a key as the operator or a server does. */
	write(key, value) {
		this.#platform.keyValues.put({key, value: new TextEncoder().encode(JSON.stringify(value))});
	}

	/** Registers a server, and writes its entry again at each heartbeat. */
	register({name, port, zone = 'north-a', service = 'ledger', slots = 4, address = '127.0.0.1', born = Date.now()}) {
		const entry = {
			service, address: `${address}:${port}`, zone, version: 'v1', slots, state: 'ready', 'warmup-left-s': 0, sequence: 0, born,
		};
		const beat = () => {
			entry.sequence += 1;
			this.write(`servers/${name}`, entry);
		};

		beat();
		const timer = setInterval(beat, HEARTBEAT_MS);
		this.#timers.push(timer);
		this.#heartbeats.set(name, timer);
	}

	/** Ends the heartbeats of a server, whose entry stays. */
	silence(name) {
		clearInterval(this.#heartbeats.get(name));
	}

	/** Stops `server` (anything with `stop`) at the end of the case. */
	own(server) {
		this.#servers.push(server);
		return server;
	}

	/** Starts a process that is killed at the end of the case. */
	spawn({command, args, options}) {
		const child = spawn(command, args, options);
		this.#children.add(child);
		child.once('exit', () => {
			this.#children.delete(child);
		});
		return child;
	}

	/** Starts a gateway and waits until it is ready. */
	async startGateway({zone = 'north-a'} = {}) {
		this.#gatewayCount += 1;
		const instance = `gateway-${this.#gatewayCount}`;
		const settings = await this.#createSettings({instance, zone});
		const directory = mkdtempSync(path.join(tmpdir(), 'pomelopick-review-'));
		this.#directories.push(directory);
		const file = path.join(directory, 'settings.json');
		writeFileSync(file, JSON.stringify(settings));
		const {command} = RUN_PATTERN.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')).groups;
		const [program, ...args] = command.split(' ');
		const child = this.spawn({
			command: program, args, options: {
				cwd: root, stdio: ['ignore', 'ignore', 'pipe'], env: {
					PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, POMELOPICK_SETTINGS: file,
				},
			},
		});
		const gateway = {
			instance, child, exit: undefined, errors: '', ...splitEndpoint(settings.listen.callers), readiness: settings.listen.readiness, settings,
		};
		child.stderr.on('data', chunk => {
			gateway.errors += chunk;
		});
		child.once('exit', (code, signal) => {
			gateway.exit = {code, signal};
			record('gateway-ended', {instance, code, signal});
		});
		await until({condition: async () => gateway.exit !== undefined || isReady(gateway), name: `${instance} is ready`});
		if (gateway.exit) {
			throw new Error(`${instance} ended at its start: ${gateway.errors}`);
		}

		record('gateway-ready', {instance, callers: settings.listen.callers});
		return gateway;
	}

	/** Kills all processes that were started. */
	killAll() {
		for (const child of this.#children) {
			child.kill('SIGKILL');
		}
	}

	/** Stops everything that was started. */
	async stop() {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.killAll();
		if (!await isMetWithin({condition: () => this.#children.size === 0, timeoutMs: STOP_TIMEOUT_MS})) {
			record('stop-failed', {detail: 'a process did not end'});
		}

		await Promise.all(this.#servers.map(async server => server.stop()));
		await this.#platform?.stop();
		for (const directory of this.#directories) {
			rmSync(directory, {recursive: true, force: true});
		}
	}

	async #createSettings({instance, zone}) {
		const address = `127.0.0.${this.#gatewayCount + 10}`;
		const ports = [];
		for (let count = 0; count < 5; count += 1) {
			ports.push(`${address}:${await freePort(address)}`);
		}

		const [callers, readiness, directory, metrics, peers] = ports;
		return {
			instance,
			failureDomain: zone,
			region: REGIONS[zone],
			regions: REGIONS,
			listen: {
				callers, readiness, directory, metrics, peers,
			},
			store: `127.0.0.1:${this.#platform.endpoint.port}`,
			shutdownSeconds: BOUNDS.graceSeconds,
			directoryMostSeconds: 5,
			retries: {ratio: 0.2, allowance: 56, windowSeconds: 10},
		};
	}
}

function createConfiguration({version, timeoutSeconds, maxAttempts}) {
	return {
		version: version.toString(16).padStart(8, '0'),
		routes: {
			columns: ROUTE_COLUMNS,
			rows: [
				['read', HOST, '/read/', 'idempotent', timeoutSeconds, 0.6, 2, null, maxAttempts, true, [], 'ledger'],
				['write', HOST, '/write/', 'non_idempotent', timeoutSeconds, 0.8, 1, null, maxAttempts, true, [], 'ledger'],
			],
		},
		services: {
			columns: ['name', 'health-path', 'max-conns', 'protocol', 'tls', 'warmup-s', 'warmup-per-s'],
			rows: [['ledger', '/health', 330, 'h1', false, 3, 4]],
		},
		limits: LIMITS,
	};
}

function splitEndpoint(text) {
	const [address, port] = text.split(':');
	return {address, port: Number(port)};
}

/** Whether a gateway answers the platform's readiness check with 200. */
export async function isReady({readiness}) {
	try {
		const response = await fetch(`http://${readiness}/pomelopick/ready`);
		await response.arrayBuffer();
		return response.status === 200;
	} catch {
		return false;
	}
}
