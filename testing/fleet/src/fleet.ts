/** A whole fleet of real processes on loopback: platform, backend servers and entry instances. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import {publishConfiguration} from '@pomelopick/config.publishing';
import type {SettingsInput} from '@pomelopick/config.settings';
import type {
	ConfigurationVersion, Endpoint, FailureDomainName, Instance, InstanceId, InstanceState,
} from '@pomelopick/core.types';
import {PlatformStore} from '@pomelopick/platform.store';
import type {BackendBehaviour, BackendStatistics, Execution} from '@pomelopick/testing.backend-stand-in';
import type {PlatformFaults} from '@pomelopick/testing.platform-stand-in';
import {startChild} from './child.js';
import type {Child} from './child.js';
import {
	listFailureDomains, planServers, toConfigurationSet,
} from './deployment.js';
import {readExecutions} from './execution-file.js';
import {getJson, postJson} from './json-requests.js';
import type {Deployment, PlannedServer} from './deployment.js';

const LOOPBACK = '127.0.0.1';
const POLL_MS = 20;
const WAIT_MS = 30_000;

/** Options of {@link startFleet}. */
export interface StartFleetOptions {
	readonly deployment: Deployment;
	readonly entries: number;
	readonly behaviour?: Partial<BackendBehaviour>;
	/** Changes an entry's settings before it starts, for example to lead it through a fault proxy. */
	readonly adjustSettings?: (settings: SettingsInput) => SettingsInput | Promise<SettingsInput>;
	/** Changes what the platform's list says of an entry, for example to lead others to it through a fault proxy. */
	readonly adjustInstance?: (instance: Instance) => Instance | Promise<Instance>;
	/** Changes where entries find a backend server, for example to lead them through a fault proxy. */
	readonly adjustBackend?: (endpoint: Endpoint) => Promise<Endpoint>;
	/** Changes the set before it is published. */
	readonly adjustSet?: (set: ConfigurationSetInput) => ConfigurationSetInput;
	/** Program of the entry instances, the entry daemon by default, and what follows the settings file on its command line. */
	readonly entryModule?: string;
	readonly entryArguments?: readonly string[];
	/** `DEBUG` namespaces of the entries; silent by default. */
	readonly debug?: string;
}

/** What an entry daemon prints when it is ready. */
interface EntryAnnouncement {
	readonly callers: Endpoint;
	readonly peers: Endpoint;
	readonly operators: Endpoint;
}

/** The part of an instance's status that tests wait for. */
interface EntryStatus {
	readonly configurationVersion?: number;
	readonly instances: ReadonlyArray<{readonly id: string; readonly state: string}>;
}

/** A running entry instance. */
export interface EntryProcess {
	readonly instance: Instance;
	readonly child: Child<EntryAnnouncement>;
}

/** A running backend server. */
export interface BackendProcess {
	readonly planned: PlannedServer;
	readonly endpoint: Endpoint;
	/** Where entries find it. */
	readonly listed: Endpoint;
	child: Child<Endpoint>;
}

const moduleOf = (packageName: string): string => fileURLToPath(new URL('main.js', import.meta.resolve(packageName)));

/** Starts a fleet and waits until every entry instance has the configuration. */
export async function startFleet(options: StartFleetOptions): Promise<Fleet> {
	const directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-'));
	const platform = await startChild<Endpoint>({module: moduleOf('@pomelopick/testing.platform-stand-in'), arguments: []});
	const fleet = new Fleet({options, directory, platform});
	await fleet.startBackends();
	await fleet.publish(fleet.configurationSet());
	const domains = listFailureDomains(options.deployment);
	await Promise.all(Array.from({length: options.entries}, async (_, index) => fleet.startEntry({id: `entry-${index + 1}`, failureDomain: domains[index % domains.length]!.name})));
	await fleet.waitForVersion(1 as ConfigurationVersion);
	await fleet.waitForInstances();
	return fleet;
}

/** A running fleet. */
export class Fleet {
	readonly backends: BackendProcess[] = [];
	readonly entries: EntryProcess[] = [];
	readonly #options: StartFleetOptions;
	readonly #directory: string;
	readonly #platform: Child<Endpoint>;

	constructor({options, directory, platform}: {readonly options: StartFleetOptions; readonly directory: string; readonly platform: Child<Endpoint>}) {
		this.#options = options;
		this.#directory = directory;
		this.#platform = platform;
	}

	/** Where the platform listens. */
	get platform(): Endpoint {
		return this.#platform.announcement;
	}

	/** The set that describes this fleet. */
	configurationSet(): ConfigurationSetInput {
		const endpoints = new Map(this.backends.map(({planned, listed}) => [planned.name, listed]));
		const set = toConfigurationSet({deployment: this.#options.deployment, endpoints});
		return this.#options.adjustSet?.(set) ?? set;
	}

	/** Starts all backend servers of the deployment. */
	async startBackends(): Promise<void> {
		this.backends.push(...await Promise.all(planServers(this.#options.deployment).map(async planned => this.#startBackend(planned))));
	}

	/** Starts a backend server again on its port. */
	async restartBackend(backend: BackendProcess): Promise<void> {
		backend.child = await this.#spawnBackend({planned: backend.planned, port: backend.endpoint.port});
	}

	/** Publishes a set. */
	async publish(set: ConfigurationSetInput): Promise<ConfigurationVersion> {
		const store = new PlatformStore({endpoint: this.platform});
		const checked = checkConfigurationSet(set).unsafeCoerce();
		const published = await publishConfiguration({
			store, set: checked, author: 'fleet', nowMs: Date.now(),
		}).run();
		const outcome = published.unsafeCoerce();
		await store.close();
		if (outcome.kind !== 'accepted') {
			throw new Error(`the publish was ${outcome.kind}`);
		}

		return outcome.version;
	}

	/** Starts an entry instance and lists it with the platform. */
	async startEntry({id, failureDomain}: {readonly id: string; readonly failureDomain: string}): Promise<EntryProcess> {
		const any = {address: LOOPBACK, port: 0};
		const settings: SettingsInput = {
			instance: id, failureDomain, listen: {callers: any, peers: any, operators: any}, store: this.platform, instanceList: this.platform,
		};
		const file = path.join(this.#directory, `${id}-${Date.now()}.json`);
		await writeFile(file, JSON.stringify(await this.#options.adjustSettings?.(settings) ?? settings));
		const child = await startChild<EntryAnnouncement>({
			module: this.#options.entryModule ?? moduleOf('@pomelopick/daemons.entry'),
			arguments: [file, ...this.#options.entryArguments ?? []],
			environment: {DEBUG: this.#options.debug ?? ''},
		});
		const {callers, operators, peers} = child.announcement;
		const started: Instance = {
			id: id as InstanceId, failureDomain: failureDomain as FailureDomainName, state: 'live', callers, operators, peers,
		};
		const instance = await this.#options.adjustInstance?.(started) ?? started;
		const entry: EntryProcess = {instance, child};
		this.entries.push(entry);
		// Instances start together and are ready in any order; tests pick them by position.
		this.entries.sort((left, right) => left.instance.id.localeCompare(right.instance.id, 'en', {numeric: true}));
		await this.list({entry, state: 'live'});
		return entry;
	}

	/** Tells the platform's list of an instance's state. */
	async list({entry, state}: {readonly entry: EntryProcess; readonly state: InstanceState}): Promise<void> {
		await postJson({endpoint: this.platform, path: '/stand-in/register', body: {...entry.instance, state}});
	}

	/** A planned stop: listed as leaving, then SIGTERM, then removed from the list. Answers the exit code. */
	async stopEntry(entry: EntryProcess): Promise<number | undefined> {
		await this.list({entry, state: 'leaving'});
		const code = await entry.child.stop();
		await this.#forget(entry);
		return code;
	}

	/** An unplanned end: SIGKILL; the list learns of it `noticeAfterMs` later. */
	async killEntry(entry: EntryProcess): Promise<void> {
		await entry.child.kill();
		await this.#forget(entry);
	}

	/** Switches faults of the platform. */
	async setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
		await postJson({endpoint: this.platform, path: '/stand-in/faults', body: faults});
	}

	/** Changes the behaviour of one backend server. */
	async setBehaviour({backend, behaviour}: {readonly backend: BackendProcess; readonly behaviour: Partial<BackendBehaviour>}): Promise<void> {
		await postJson({endpoint: backend.endpoint, path: '/stand-in/behaviour', body: behaviour});
	}

	/** Executions of all backend servers, those of processes that have ended included. */
	async listExecutions(): Promise<readonly Execution[]> {
		const lists = await Promise.all(this.backends.map(async ({planned}) => readExecutions(this.#executionFile(planned))));
		return lists.flat();
	}

	/** Executions of the backend servers that are running, by server. */
	async listExecutionsByServer(): Promise<ReadonlyMap<string, readonly Execution[]>> {
		const live = this.backends.filter(({child}) => !child.hasExited());
		return new Map(await Promise.all(live.map(async ({planned, endpoint}) => [planned.name, await getJson<Execution[]>({endpoint, path: '/stand-in/executions'})] as const)));
	}

	/** Counters of the entry instances that are running. */
	async listCounters(): Promise<ReadonlyArray<Readonly<Record<string, number>>>> {
		const live = this.entries.filter(({child}) => !child.hasExited());
		return Promise.all(live.map(async ({instance}) => {
			const {counters} = await getJson<{readonly counters: Record<string, number>}>({endpoint: instance.operators, path: '/v1/status'});
			return counters;
		}));
	}

	/** Statistics of all backend servers that are running. */
	async listStatistics(): Promise<readonly BackendStatistics[]> {
		const live = this.backends.filter(({child}) => !child.hasExited());
		return Promise.all(live.map(async ({endpoint}) => getJson<BackendStatistics>({endpoint, path: '/stand-in/statistics'})));
	}

	/** Waits until every running entry instance has at least this version. */
	async waitForVersion(version: ConfigurationVersion): Promise<void> {
		for (const {instance, child} of this.entries) {
			if (!child.hasExited()) {
				await this.#waitForStatus({endpoint: instance.operators, holds: ({configurationVersion = 0}) => configurationVersion >= version});
			}
		}
	}

	/** Waits until every running entry instance lists all others. */
	async waitForInstances(): Promise<void> {
		const expected = this.entries.length;
		for (const {instance} of this.entries) {
			await this.#waitForStatus({endpoint: instance.operators, holds: ({instances}) => instances.length === expected});
		}
	}

	/** Stops everything that was started. */
	async stop(): Promise<void> {
		await Promise.all(this.entries.map(async ({child}) => child.hasExited() ? undefined : child.kill()));
		await Promise.all(this.backends.map(async ({child}) => child.hasExited() ? undefined : child.kill()));
		await this.#platform.kill();
		await rm(this.#directory, {recursive: true, force: true});
	}

	async #waitForStatus({endpoint, holds}: {readonly endpoint: Endpoint; readonly holds: (status: EntryStatus) => boolean}): Promise<void> {
		const endsAtMs = Date.now() + WAIT_MS;
		while (!await this.#statusHolds({endpoint, holds})) {
			if (Date.now() > endsAtMs) {
				throw new Error(`instance at port ${endpoint.port} did not reach the expected state within ${WAIT_MS} ms`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, POLL_MS);
			});
		}
	}

	/** An instance that is busy with a large configuration may close an idle connection just when it is used again. */
	async #statusHolds({endpoint, holds}: {readonly endpoint: Endpoint; readonly holds: (status: EntryStatus) => boolean}): Promise<boolean> {
		try {
			return holds(await getJson<EntryStatus>({endpoint, path: '/v1/status'}));
		} catch {
			return false;
		}
	}

	async #forget(entry: EntryProcess): Promise<void> {
		// Two faults at the same time may have ended the same instance.
		this.entries.splice(0, this.entries.length, ...this.entries.filter(other => other !== entry));
		await postJson({endpoint: this.platform, path: '/stand-in/deregister', body: {id: entry.instance.id}});
	}

	async #startBackend(planned: PlannedServer): Promise<BackendProcess> {
		const child = await this.#spawnBackend({planned, port: 0});
		const endpoint = child.announcement;
		return {
			planned, endpoint, listed: await this.#options.adjustBackend?.(endpoint) ?? endpoint, child,
		};
	}

	#executionFile({name}: PlannedServer): string {
		return path.join(this.#directory, `executions-${name}.jsonl`);
	}

	async #spawnBackend({planned, port}: {readonly planned: PlannedServer; readonly port: number}): Promise<Child<Endpoint>> {
		const {name, slots} = planned;
		return startChild<Endpoint>({
			module: moduleOf('@pomelopick/testing.backend-stand-in'), arguments: [JSON.stringify({
				name, slots, port, behaviour: this.#options.behaviour, executionFile: this.#executionFile(planned),
			})],
		});
	}
}
