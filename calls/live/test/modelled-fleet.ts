/** A model of a fleet in virtual time: instances that follow one store, directly or through other instances, with a fault for each instance. */
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {
	ChangeRelay, encodeInstance, instanceKey, LiveView, StoreFeed, UpstreamLink,
} from '@pomelopick/calls.live';
import type {UpstreamRequestOptions, InstanceRecord, UpstreamAnswer} from '@pomelopick/calls.live';
import type {
	KeyValueStore, StoreChange, StoreChanges, StoredValue, StoreError, WatchOptions, WatchResult,
} from '@pomelopick/platform.store';
import {decodeRouteSet, decodeServer, readSubject} from '@pomelopick/platform.wire';
import type {
	CodedError, FailureDomainName, InstanceId, RegionName,
} from '@pomelopick/core.types';
import {VirtualTime} from './virtual-time.js';

/** One-way delay between two processes, in milliseconds. */
const DELAY_MS = 12;
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
	/** Index up to which it has all changes. */
	readonly index: () => number;
}

interface RunningModelledInstance extends ModelledInstance {
	readonly relay: ChangeRelay;
	readonly feed: StoreFeed;
}

/** A store and its instances. */
export class ModelledFleet {
	readonly time = new VirtualTime();
	readonly instances: RunningModelledInstance[] = [];
	/** Calls that reached the store. */
	storeCalls = 0;
	readonly #changes: StoreChange[] = [];
	readonly #watchers = new Set<() => void>();

	constructor({size}: {readonly size: number}) {
		for (let number = 0; number < size; number += 1) {
			const record = createRecord(number);
			this.write({key: instanceKey(record.id), value: encodeInstance(record)});
		}

		for (let number = 0; number < size; number += 1) {
			this.instances.push(this.#start(createRecord(number)));
		}
	}

	/** Index of the last write in the store. */
	get index(): number {
		return this.#changes.length;
	}

	/** Writes a key; returns the index of the write. */
	write({key, value}: {readonly key: string; readonly value: Uint8Array}): number {
		const modifyIndex = this.#changes.length + 1;
		this.#changes.push({kind: 'written', value: {key, value, modifyIndex}});
		for (const wake of this.#watchers) {
			wake();
		}

		return modifyIndex;
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

		const view = new LiveView({
			format: {readSubject, decodeRouteSet, decodeServer}, onChange: ignore, onRoutes: ignore, recordReaders: [], onServerLost: ignore,
		});
		const isRunning = (): boolean => running.fault !== 'killed' && running.fault !== 'frozen';
		const resume = async (): Promise<void> => {
			while (running.fault === 'frozen') {
				await this.time.sleep(10);
			}
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
			store: this.#createStore({reachesStore: () => isRunning() && running.fault === 'none', resume}),
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
			record, fault: 'none', soundSinceMs: now(), index: () => index, relay, feed,
		};
		void feed.run();
		return running;
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

	#createStore({reachesStore, resume}: {readonly reachesStore: () => boolean; readonly resume: () => Promise<void>}): KeyValueStore {
		const call = <Result>(options: {readonly waitMs: number; readonly run: () => Promise<Result>}): EitherAsync<StoreError, Result> => EitherAsync.fromPromise(async () => {
			const result = await this.#callStore({...options, reachesStore});
			await resume();
			return result;
		});
		const store: Pick<KeyValueStore, 'snapshot' | 'changes'> = {
			snapshot: () => call({waitMs: 0, run: async () => this.#snapshot()}),
			changes: options => call({waitMs: options.waitMs, run: async () => this.#watch(options)}),
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

	#snapshot(): WatchResult {
		const values = new Map<string, StoredValue>();
		for (const change of this.#changes) {
			if (change.kind === 'written') {
				values.set(change.value.key, change.value);
			}
		}

		return {values: [...values.values()], index: this.index};
	}

	async #watch({afterIndex, waitMs}: WatchOptions): Promise<StoreChanges> {
		if (this.index === afterIndex) {
			await this.#waitForChange(waitMs);
		}

		return {kind: 'changes', changes: this.#changes.slice(afterIndex), index: this.index};
	}

	async #waitForChange(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = (): void => {
				this.#watchers.delete(wake);
				resolve();
			};

			this.#watchers.add(wake);
			this.time.at(this.time.now() + waitMs, wake);
		});
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
