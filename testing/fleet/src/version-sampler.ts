/** Publishes to a fleet and samples what each of its instances has in force, for the history checker. */
import {performance} from 'node:perf_hooks';
import {publishConfiguration, listHistory} from '@pomelopick/config.publishing';
import type {PublishOutcome} from '@pomelopick/config.publishing';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import type {ConfigurationVersion, PublishId} from '@pomelopick/core.types';
import {PlatformStore} from '@pomelopick/platform.store';
import {getJson} from './json-requests.js';
import type {EntryProcess, Fleet} from './fleet.js';
import {checkVersionHistory, listArrivals} from './version-history.js';
import type {
	AcceptedPublish, Arrival, KeptVersion, VersionSample, Violation,
} from './version-history.js';

const SAMPLE_INTERVAL_MS = 50;
const HISTORY_LIMIT = 1000;

/** Options of {@link VersionSampler.publish}. */
export interface SampledPublishOptions {
	readonly set: ConfigurationSetInput;
	readonly publishId: string;
	readonly basedOn?: number;
}

/** Records one run. */
export class VersionSampler {
	readonly #fleet: Fleet;
	readonly #samples: VersionSample[] = [];
	readonly #publishes: AcceptedPublish[] = [];
	readonly #children = new Set<EntryProcess['child']>();
	#timer: NodeJS.Timeout | undefined;

	constructor({fleet}: {readonly fleet: Fleet}) {
		this.#fleet = fleet;
	}

	/** Publishes that were accepted. */
	get publishes(): readonly AcceptedPublish[] {
		return this.#publishes;
	}

	/** Starts sampling. */
	start(): void {
		this.#timer = setInterval(() => {
			for (const entry of this.#fleet.entries) {
				void this.#sample(entry);
			}
		}, SAMPLE_INTERVAL_MS);
	}

	/** Stops sampling. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Publishes and notes an acceptance. */
	async publish({set, publishId, basedOn}: SampledPublishOptions): Promise<PublishOutcome | {readonly kind: 'failed'; readonly message: string}> {
		const store = new PlatformStore({endpoint: this.#fleet.platform});
		const published = await publishConfiguration({
			store,
			set: checkConfigurationSet(set).unsafeCoerce(),
			author: publishId,
			nowMs: Date.now(),
			publishId: publishId as PublishId,
			basedOn: basedOn as ConfigurationVersion | undefined,
		}).run();
		await store.close();
		return published.caseOf<PublishOutcome | {readonly kind: 'failed'; readonly message: string}>({
			Left: ({message}) => ({kind: 'failed', message}),
			Right: outcome => {
				if (outcome.kind === 'accepted') {
					this.#publishes.push({version: outcome.version, publishId, atMs: performance.now()});
				}

				return outcome;
			},
		});
	}

	/** Checks the whole history against what the service keeps. */
	async check({boundMs}: {readonly boundMs: number}): Promise<readonly Violation[]> {
		await Promise.all(this.#fleet.entries.map(async entry => this.#sample(entry)));
		const store = new PlatformStore({endpoint: this.#fleet.platform});
		const history = await listHistory({store, limit: HISTORY_LIMIT}).run();
		await store.close();
		const kept: readonly KeptVersion[] = history.unsafeCoerce();
		return checkVersionHistory({
			publishes: this.#publishes, samples: this.#samples, kept, boundMs, endedProcesses: this.#endedProcesses(),
		});
	}

	/** Arrivals of all accepted versions. */
	arrivals(): readonly Arrival[] {
		return listArrivals({publishes: this.#publishes, samples: this.#samples, endedProcesses: this.#endedProcesses()});
	}

	/** Number of samples taken. */
	get sampleCount(): number {
		return this.#samples.length;
	}

	#endedProcesses(): ReadonlySet<number> {
		return new Set([...this.#children].filter(child => child.hasExited()).map(({processId}) => processId));
	}

	async #sample({instance, child}: EntryProcess): Promise<void> {
		this.#children.add(child);
		try {
			const {configurationVersion = 0} = await getJson<{configurationVersion?: number}>({endpoint: instance.operators, path: '/v1/status'});
			this.#samples.push({
				instance: instance.id, processId: child.processId, atMs: performance.now(), version: configurationVersion,
			});
		} catch {
			// The process ended or is suspended.
		}
	}
}
