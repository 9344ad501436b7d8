/** Gateways as separate processes, started with the `run` line and the settings template of the deploy file. */
import {spawn} from 'node:child_process';
import {createServer} from 'node:net';
import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {send} from './caller.js';
import {closeServer, listen} from './sockets.js';

const root = path.resolve(import.meta.dirname, '../..');
const READY_POLL_MS = 50;

const readDeployed = async name => {
	const text = await readFile(path.join(root, 'deploy/system.toml'), 'utf8');
	return new RegExp(`^${name} = "(.*)"$`, 'mu').exec(text)[1];
};

const findFreePort = async address => {
	const server = createServer();
	const port = await listen(server, address);
	await closeServer(server);
	return port;
};

/** Loopback addresses of one run of a case; the template puts one port of each gateway at a fixed number. */
let count = 0;
const takeAddress = () => {
	count += 1;
	return `127.${2 + (process.pid % 250)}.${2 + (Math.floor(process.pid / 250) % 250)}.${count + 1}`;
};

function read(fields, name) {
	let value = fields;
	for (const part of name.split('.')) {
		value = value?.[part];
	}

	return value;
}

const fillTemplate = (template, fields) => template
	.replaceAll(/\{\{([\w.-]+)\|json\}\}/gu, (_, name) => JSON.stringify(read(fields, name)))
	.replaceAll(/\{\{([\w.-]+)\}\}/gu, (_, name) => String(read(fields, name)));

const running = new Set();
process.once('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
	// Without a handler the process would end without the event above.
	process.once(signal, () => {
		process.exit(2);
	});
}

/** One machine with a gateway. It may be started more than once. */
export class Gateway {
	constructor({name, zone, zones, bounds, store, folder, record, onLine}) {
		Object.assign(this, {
			name, zone, zones, bounds, store, folder, record, onLine,
		});
	}

	/** Starts the process; the first start chooses its addresses. */
	async start() {
		this.fields ??= await this.#chooseFields();
		const template = await readFile(path.join(root, await readDeployed('template')), 'utf8');
		const file = path.join(this.folder, `${this.name}.json`);
		await writeFile(file, fillTemplate(template, this.fields));
		const run = await readDeployed('run');
		const [command, ...words] = run.split(' ');
		this.child = spawn(command, words, {cwd: root, env: {PATH: process.env.PATH, POMELOPICK_SETTINGS: file}, stdio: ['ignore', 'pipe', 'pipe']});
		running.add(this.child);
		this.record.line('process', {gateway: this.name, started: this.child.pid});
		this.exited = new Promise(resolve => {
			this.child.once('exit', (code, signal) => {
				running.delete(this.child);
				this.record.line('process', {
					gateway: this.name, ended: this.child.pid, code, signal,
				});
				resolve({code, signal});
			});
		});
		this.#readLog();
	}

	/** Sends a signal. */
	signal(name) {
		this.record.line('process', {gateway: this.name, signal: name});
		this.child.kill(name);
	}

	/** Ends the process. */
	async end() {
		if (this.child && this.child.exitCode === null && this.child.signalCode === null) {
			this.signal('SIGKILL');
			await this.exited;
		}
	}

	/** Whether the gateway says that it is ready. */
	async isReady() {
		const {status} = await send({address: this.fields.listen.readiness, path: '/pomelopick/ready', timeoutMs: 1000});
		return status === 200;
	}

	async untilReady() {
		while (!await this.isReady()) {
			await sleep(READY_POLL_MS);
		}
	}

	async #chooseFields() {
		const ip = takeAddress();
		const [front, readiness, directory, internal] = await Promise.all([findFreePort(ip), findFreePort(ip), findFreePort(ip), findFreePort(ip)]);
		const {name, zone, zones, bounds, store} = this;
		return {
			'node-name': name, zone, region: zones[zone], zones, ip, bounds,
			listen: {front: `${ip}:${front}`, readiness: `${ip}:${readiness}`, directory: `${ip}:${directory}`},
			'internal-ports': [internal],
			platform: {address: `127.0.0.1:${store.port}`},
		};
	}

	#readLog() {
		let rest = '';
		this.child.stdout.setEncoding('utf8').on('data', text => {
			const lines = `${rest}${text}`.split('\n');
			rest = lines.pop();
			for (const line of lines) {
				this.onLine?.(this, line);
			}
		});
		this.child.stderr.setEncoding('utf8').on('data', text => {
			this.record.line('stderr', {gateway: this.name, text: JSON.stringify(text)});
		});
	}
}
