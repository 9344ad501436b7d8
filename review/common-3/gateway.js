/** Starts gateways as processes, with the command and the settings template of the deploy file. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

export const ROOT = path.resolve(import.meta.dirname, '../..');
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;

/** Bounds of the platform, as the site file `saltledger.toml` sets them. */
export const bounds = Object.fromEntries([
	['contact-s', 3],
	['drain-s', 2.5],
	['grace-s', 6],
	['config-apply-s', 2.5],
	['retry-budget-ratio', 0.2],
	['budget-window-s', 10],
	['budget-min-retries', 58],
	['warmup-overage', 1.5],
	['warmup-slack', 5],
	['ttl_max_s', 5],
]);

/** Zones of the deployment and their regions. */
export const zones = {'inverness-a': 'highland', 'glasgow-a': 'central', 'dumfries-a': 'borders'};

/** Reads a text of the deploy file's role. */
function readRole(name) {
	const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
	return new RegExp(`^${name} = "(?<value>.*)"$`, 'mu').exec(text).groups.value;
}

/** Fills in the settings template. */
function fillIn(template, fields) {
	return template.replaceAll(/\{\{(?<name>[^|}]+)(?<isJson>\|json)?\}\}/gu, (...args) => {
		const {name, isJson} = args.at(-1);
		let value = fields;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return isJson ? JSON.stringify(value) : String(value);
	});
}

async function freePort(address) {
	const server = createServer();
	server.listen(0, address);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}

let lastHost = 1;

/** Starts a gateway; resolves when its process runs. Each gateway gets a loopback address of its own. */
export async function startGateway({name, zone, storeAddress, record}) {
	lastHost += 1;
	const ip = `127.${100 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}.${lastHost}`;
	const ports = await Promise.all(Array.from({length: 4}, async () => freePort(ip)));
	return startAt({
		name, zone, storeAddress, record, ip, ports,
	});
}

async function startAt(options) {
	const {name, zone, storeAddress, record, ip, ports: [front, readiness, directory, internal]} = options;
	const folder = await mkdtemp(path.join(tmpdir(), 'pomelopick-review-'));
	const file = path.join(folder, 'settings.json');
	const fields = {
		'node-name': name, zone, region: zones[zone], zones, ip, 'internal-ports': [internal, internal + 1],
		listen: {front: `${ip}:${front}`, readiness: `${ip}:${readiness}`, directory: `${ip}:${directory}`},
		bounds,
		limits: {
			cores: 1, 'cpu-share': 0.54, 'link-mbps': 1000, 'memory-mb': 350,
		},
	};
	const writeSettings = async address => {
		await writeFile(file, fillIn(readFileSync(path.join(ROOT, readRole('template')), 'utf8'), {...fields, platform: {address}}));
	};

	await writeSettings(storeAddress);
	const [program, ...words] = readRole('run').split(' ');
	const child = spawn(program === 'node' ? process.execPath : program, words, {
		cwd: ROOT, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME, POMELOPICK_SETTINGS: file},
	});
	child.stdout.resume();
	child.stderr.on('data', data => {
		record.line(`${name} stderr: ${String(data).trim()}`);
	});
	const ended = once(child, 'exit');
	const isEnded = () => child.exitCode !== null || child.signalCode !== null;
	child.once('exit', (code, signal) => {
		record.line(`${name}: process ended, code ${code}, signal ${signal}`);
	});
	record.line(`${name}: started as process ${child.pid} in ${zone}, front ${fields.listen.front}, directory ${fields.listen.directory}`);
	return {
		name, zone, front: {address: ip, port: front}, directory: {address: ip, port: directory}, readiness: {address: ip, port: readiness},
		frontText: fields.listen.front,
		/** Sends a signal. */
		signal(signal) {
			record.line(`${name}: sent ${signal}`);
			child.kill(signal);
		},
		/** Writes its settings file anew, with another address of the store. */
		async moveStore(address) {
			record.line(`${name}: its settings name the store at ${address}`);
			await writeSettings(address);
		},
		/** Starts it again after it has ended, with the same settings. */
		async restart() {
			await ended;
			return startAt(options);
		},
		async waitUntilReady() {
			const endMs = Date.now() + READY_TIMEOUT_MS;
			while (Date.now() < endMs && !isEnded()) {
				const {status} = await get({endpoint: {address: ip, port: readiness}, path: '/pomelopick/ready', timeoutMs: 500});
				if (status === 200) {
					record.line(`${name}: ready`);
					return;
				}

				await sleep(POLL_MS);
			}

			throw new Error(`${name} did not become ready`);
		},
		async stop() {
			if (!isEnded()) {
				child.kill('SIGKILL');
				await ended;
			}

			await rm(folder, {recursive: true, force: true});
		},
	};
}

/** Sends one request on a new connection. The status is 0 if there was no complete answer. */
export async function get({endpoint: {address, port}, path: target, method = 'GET', headers = {}, body, timeoutMs, localAddress = '127.0.0.1'}) {
	return new Promise(resolve => {
		const sent = request({
			host: address, port, path: target, method, headers, agent: false, localAddress,
		}, response => {
			const pieces = [];
			response.on('data', piece => pieces.push(piece));
			response.on('end', () => {
				clearTimeout(timer);
				resolve({status: response.complete ? response.statusCode : 0, headers: response.headers, text: Buffer.concat(pieces).toString()});
			});
			response.on('error', fail);
		});
		const fail = () => {
			clearTimeout(timer);
			sent.destroy();
			resolve({status: 0, headers: {}, text: ''});
		};

		const timer = setTimeout(fail, timeoutMs);
		sent.on('error', fail);
		sent.end(body);
	});
}
