/** A model of a fleet in virtual time: instances that follow one store, directly or through other instances, with a fault for each instance. */
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {
	ChangeRelay, encodeInstance, instanceKey, LiveView, StoreFeed, UpstreamLink,
} from '@pomelopick/calls.live';
import type {UpstreamRequestOptions, InstanceRecord, UpstreamAnswer} from '@pomelopick/calls.live';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import {decodeRouteSet, decodeServer, readSubject} from '@pomelopick/platform.wire';
import type {
	CodedError, FailureDomainName, InstanceId, RegionName,
} from '@pomelopick/core.types';
import {ModelledStore} from './modelled-store.js';
import {VirtualTime} from './virtual-time.js';

/** One-way delay between two processes, in milliseconds. */
const DELAY_MS = 12;
/** Interval at which an instance renews the lease of its record, in milliseconds. */
const RENEWAL_INTERVAL_MS = 1600;
/** Time after the end of a watch's wait at which it times out, in milliseconds. */
const WATCH_GRACE_MS = 500;
const FIRST_PORT = 1000;
const REGIONS = ['north', 'south', 'west'];

/** Fault of an instance. With `cut-from-store`, other instances can reach it, but it cannot reach the store. */
export type InstanceFault = 'none' | 'killed' | 'frozen' | 'cut-from-store' | 'cut-off';

/** State of one instance. */
export interface ModelledInstance {
	readonly record: InstanceRecord;
	fault: InstanceFault;
	/** Time since which the instance has no fault, in milliseconds. */
	soundSinceMs: number;
	/** Index up to which it has all changes, whether it followed them or read them in a snapshot. */
	readonly index: () => number;
	/** Versions of the configuration that came into force here, in order. */
	readonly versions: readonly number[];
}

interface RunningModelledInstance extends ModelledInstance {
	readonly relay: ChangeRelay;
	readonly feed: StoreFeed;
}

/** A store and its instances. */
export class ModelledFleet {
	readonly time = new VirtualTime();
	readonly store = new ModelledStore({time: this.time});
	readonly instances: RunningModelledInstance[] = [];
	/** Calls that reached the store. */
	storeCalls = 0;
	#isStopped = false;

	constructor({size}: {readonly size: number}) {
		for (let number = 0; number < size; number += 1) {
			const record = createRecord(number);
			this.store.write({key: instanceKey(record.id), value: encodeInstance(record)});
		}

		for (let number = 0; number < size; number += 1) {
			this.instances.push(this.#start(createRecord(number)));
		}
	}

	/** Sets the fault of an instance. A killed instance restarts when its fault changes. */
	setFault({instance, fault}: {readonly instance: ModelledInstance; readonly fault: InstanceFault}): void {
		const position = this.instances.findIndex(({record}) => record.id === instance.record.id);
		const running = this.instances[position]!;
		const wasKilled = running.fault === 'killed';
		running.fault = fault;
		running.soundSinceMs = fault === 'none' ? this.time.now() : Number.POSITIVE_INFINITY;
		if (fault === 'killed') {
			running.feed.stop();
		} else if (wasKilled) {
			const restarted = this.#start(running.record);
			restarted.fault = fault;
			restarted.soundSinceMs = running.soundSinceMs;
			this.instances[position] = restarted;
		}
	}

	/** Stops all instances. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		for (const {feed} of this.instances) {
			feed.stop();
		}

		await this.time.runUntil(this.time.now() + 10_000);
	}

	#start(record: InstanceRecord): RunningModelledInstance {
		const {now} = this.time;
		const relay = new ChangeRelay({now});
		let index = 0;
		const confirm = relay.confirm.bind(relay);
		relay.confirm = options => {
			index = Math.max(index, options.index);
			confirm(options);
		};

		const restart = relay.restart.bind(relay);
		relay.restart = options => {
			index = Math.max(index, options.index);
			restart(options);
		};

		const view = new LiveView({
			format: {readSubject, decodeRouteSet, decodeServer},
			onChange: ignore,
			onRoutes({version}) {
				versions.push(version);
			},
			recordReaders: [],
			onServerLost: ignore,
		});
		const versions: number[] = [];
		const isRunning = (): boolean => running.fault !== 'killed' && running.fault !== 'frozen';
		const resume = async (): Promise<void> => {
			while (running.fault === 'frozen') {
				await this.time.sleep(10);
			}
		};

		const reachesStore = (): boolean => isRunning() && running.fault === 'none';
		let era = 0;
		const recordEra = (answeredEra: number): void => {
			if (era !== 0 && answeredEra > era) {
				feed.recordReturn({era: answeredEra});
				this.store.write({key: instanceKey(record.id), value: encodeInstance(record)});
			}

			era = Math.max(era, answeredEra);
		};

		const upstreams = new UpstreamLink({
			self: record,
			instances: () => view.instances.list(),
			requestChanges: async options => {
				const answer = await this.#requestChanges({from: running, ...options});
				await resume();
				return answer;
			},
			onChange: ignore,
			now,
		});
		const feed = new StoreFeed({
			store: this.#createStore({reachesStore, resume, recordEra}),
			view,
			prefix: '',
			relay,
			upstreams,
			onAvailability: ignore,
			onSnapshot: ignore,
			sleep: async milliseconds => {
				await this.time.sleep(milliseconds);
				await resume();
			},
			now,
			random: () => 0.5,
		});
		const running: RunningModelledInstance = {
			record, fault: 'none', soundSinceMs: now(), index: () => index, versions, relay, feed,
		};
		void feed.run();
		void this.#renewLeases({reachesStore, recordEra, isStopped: () => running.fault === 'killed' || this.#isStopped});
		return running;
	}

	/** Calls the store for the lease of an instance, by which it learns of a return also while it follows another instance. */
	async #renewLeases({reachesStore, recordEra, isStopped}: {readonly reachesStore: () => boolean; readonly recordEra: (era: number) => void; readonly isStopped: () => boolean}): Promise<void> {
		while (!isStopped()) {
			await this.time.sleep(RENEWAL_INTERVAL_MS);
			if (reachesStore()) {
				recordEra(this.store.era);
			}
		}
	}

	async #requestChanges({from, endpoint, afterIndex, timeoutMs, signal}: UpstreamRequestOptions & {readonly from: RunningModelledInstance}): Promise<Either<CodedError, UpstreamAnswer>> {
		const to = this.instances.find(({record}) => record.peers?.port === endpoint.port)!;
		const isConnected = (): boolean => from.fault !== 'cut-off' && to.fault !== 'cut-off' && to.fault !== 'frozen';
		const timedOut = this.#fail({afterMs: timeoutMs, message: 'no answer in time'});
		if (to.fault === 'killed') {
			return this.#fail({afterMs: 2 * DELAY_MS, message: 'refused'});
		}

		const answer = async (): Promise<Either<CodedError, UpstreamAnswer>> => {
			await this.time.sleep(DELAY_MS);
			if (!isConnected()) {
				return timedOut;
			}

			const answered = await to.relay.waitForChanges({afterIndex, signal});
			await this.time.sleep(DELAY_MS);
			return isConnected() && to.fault !== 'killed' ? Right(answered) : timedOut;
		};

		return Promise.race([answer(), timedOut]);
	}

	async #fail({afterMs, message}: {readonly afterMs: number; readonly message: string}): Promise<Either<CodedError, never>> {
		await this.time.sleep(afterMs);
		return Left({code: 'upstream-silent', message});
	}

	#createStore({reachesStore, resume, recordEra}: {readonly reachesStore: () => boolean; readonly resume: () => Promise<void>; readonly recordEra: (era: number) => void}): KeyValueStore {
		const call = <Result>({waitMs, run}: {readonly waitMs: number; readonly run: () => Promise<Result>}): EitherAsync<StoreError, Result> => EitherAsync.fromPromise(async () => {
			const answered = await this.#callStore({waitMs, reachesStore, run: async () => ({result: await run(), era: this.store.era})});
			await resume();
			return answered.map(({result, era}) => {
				recordEra(era);
				return result;
			});
		});
		const store: Pick<KeyValueStore, 'snapshot' | 'changes'> = {
			snapshot: () => call({waitMs: 0, run: async () => this.store.snapshot()}),
			changes: options => call({waitMs: options.waitMs, run: async () => this.store.watch(options)}),
		};
		return store as KeyValueStore;
	}

	async #callStore<Result>({waitMs, run, reachesStore}: {readonly waitMs: number; readonly run: () => Promise<Result>; readonly reachesStore: () => boolean}): Promise<Either<StoreError, Result>> {
		const timedOut = async (): Promise<Either<StoreError, Result>> => {
			await this.time.sleep(waitMs + WATCH_GRACE_MS);
			return Left({code: 'unavailable', message: 'no answer in time'});
		};

		const answered = async (): Promise<Either<StoreError, Result>> => {
			await this.time.sleep(DELAY_MS);
			if (!reachesStore()) {
				return new Promise(() => {/* The call is lost. */});
			}

			this.storeCalls += 1;
			const result = await run();
			await this.time.sleep(DELAY_MS);
			return reachesStore() ? Right(result) : new Promise(() => {/* The answer is lost. */});
		};

		return Promise.race([answered(), timedOut()]);
	}
}

function createRecord(number: number): InstanceRecord {
	const region = REGIONS[number % REGIONS.length]!;
	return {
		id: `instance-${number}` as InstanceId,
		failureDomain: `${region}-a` as FailureDomainName,
		region: region as RegionName,
		callers: {address: '10.0.0.1', port: 80},
		peers: {address: '10.0.0.1', port: FIRST_PORT + number},
	};
}

function ignore(): void {
	// The model checks the index that each instance reached, not the changes that it reports.
}
