/** Creates and wires the parts that keep the rate limits of backend servers for all instances together. */
import {setTimeout as startTimeout} from 'node:timers/promises';
import type {RequestListener} from 'node:http';
import {createBroadcastListener, PeerBroadcast, sendBroadcastMessage} from '@pomelopick/calls.live';
import type {BroadcastSubject, LiveView, LostServer} from '@pomelopick/calls.live';
import {
	createPermitListener, PermitClient, RateLimitSharing, RateLimitUse, RateLimitWriter, RatePermits, readRateLimit, readServerWarmup, WarmupSharing,
} from '@pomelopick/calls.rate-limits';
import type {
	RatePermitsOptions, RateLimitSharingOptions, ServerWarmup, WarmupSharingOptions,
} from '@pomelopick/calls.rate-limits';
import {RefusalLog} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {CodedError, InstanceId} from '@pomelopick/core.types';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {OwnerCandidates} from '@pomelopick/steering.limits';
import {NamedRateLimits} from '@pomelopick/steering.servers';
import type {RateLimitRecord} from '@pomelopick/steering.servers';

/** Options of {@link createRateLimits}. */
export interface CreateRateLimitsOptions {
	readonly self: InstanceId;
	readonly view: LiveView;
	readonly store: KeyValueStore;
	/** Whether a server may have restarted unnoticed. */
	readonly mayBeCold: RatePermitsOptions['mayBeCold'];
	/** Called when a server is found to have a limit. */
	readonly onLimited: RateLimitSharingOptions['onLimited'];
	/** Called when a server is found to warm up for longer than was known. */
	readonly onLongerWarmup: WarmupSharingOptions['onLonger'];
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Age of the view, in milliseconds. */
	readonly viewAgeMs: () => number;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** The parts that are used from outside. */
export interface RateLimitParts {
	readonly rateLimits: NamedRateLimits;
	readonly sharing: RateLimitSharing;
	readonly warmupSharing: WarmupSharing;
	readonly permits: RatePermits;
	readonly use: RateLimitUse;
	/** Handles the records that other instances send. */
	readonly handleRecords: RequestListener;
	/** Handles what other instances report about the warm-up of servers. */
	readonly handleWarmups: RequestListener;
	/** Handles the requests of other instances for permits. */
	readonly handlePermits: RequestListener;
	/** Applies a record that was read in the store. */
	readonly receiveFromStore: (record: RateLimitRecord) => void;
	/** Writes the records of the own servers again, after the store has returned from an older copy. */
	readonly restoreRecords: () => void;
	/** Must be called whenever an instance was registered or removed. */
	readonly updateInstances: () => void;
	/** Returns the rate limits that registered servers name, in requests per second, by server. */
	readonly listRates: () => ReadonlyMap<string, number>;
	/** Discards all state about a server's process that has ended, but for a limit that its next one has named already. */
	readonly forget: (lost: LostServer) => void;
	readonly stop: () => void;
}

/** Creates the parts. */
export function createRateLimits({self, view, store, mayBeCold, onLimited, onLongerWarmup, counters, log, viewAgeMs, now}: CreateRateLimitsOptions): RateLimitParts {
	// Unreferenced timers: the process is kept running by its listeners, not by pauses between calls.
	const sleep = async (milliseconds: number): Promise<void> => startTimeout(milliseconds, undefined, {ref: false});
	const rateLimits = new NamedRateLimits();
	const candidates = new OwnerCandidates();
	let areCandidatesOutdated = false;
	const updateCandidates = (): void => {
		if (areCandidatesOutdated) {
			areCandidatesOutdated = false;
			candidates.update({instances: view.instances.list(), nowMs: now()});
		}
	};

	const refusals = new RefusalLog({log, now});
	const use = new RateLimitUse({
		rateLimits, counters, log, now,
	});
	const client = new PermitClient();
	const findPeer = (id: InstanceId) => view.instances.list().find(instance => instance.id === id)?.peers;
	const createBroadcast = <Item>({subject, onRecord}: {readonly subject: BroadcastSubject; readonly onRecord: (record: Item) => void}): PeerBroadcast<Item> => new PeerBroadcast<Item>({
		self,
		instances: () => view.instances.list(),
		send: async options => sendBroadcastMessage({subject, ...options}),
		onRecord,
		sleep,
		onFailure({instance, error: {code, message}}) {
			counters.add(`peer.${code}`);
			log.line('peer-not-told', {subject: instance, reason: code, detail: message});
		},
	});
	const rateLimitBroadcast = createBroadcast<RateLimitRecord>({
		subject: 'rate-limits', onRecord(record) {
			sharing.receive({record, source: 'instance'});
		},
	});
	const warmupBroadcast = createBroadcast<ServerWarmup>({
		subject: 'server-warmups', onRecord(warmup) {
			warmupSharing.receive(warmup);
		},
	});
	const warmupSharing: WarmupSharing = new WarmupSharing({
		recordWarmup: options => view.servers.recordWarmup(options),
		onLonger(server) {
			onLongerWarmup(server);
			const known = view.servers.findEntry(server);
			if (known) {
				permits.beginWarmup(known);
			}
		},
		broadcast(takeRecords) {
			void warmupBroadcast.broadcast(takeRecords);
		},
		counters,
		log,
		now,
	});
	const permits: RatePermits = new RatePermits({
		self,
		rateLimits,
		mayBeCold,
		warmupPerSecond(server) {
			const service = view.servers.findEntry(server)?.server.service;
			return view.routeSet?.services.find(({name}) => name === service)?.warmupRequestsPerSecond ?? 0;
		},
		findEntry: name => view.servers.findEntry(name),
		fleet() {
			updateCandidates();
			return {candidates: candidates.list, generation: candidates.generation, viewAgeMs: viewAgeMs()};
		},
		findPeer,
		ask: async options => client.ask(options),
		onRecord(record) {
			sharing.receive({record, source: 'instance'});
		},
		use,
		counters,
		now,
	});
	const listRecords = (): readonly RateLimitRecord[] => view.servers.listEntries().flatMap(({server}) => rateLimits.recordOf(server) ?? []);
	const writer = new RateLimitWriter({
		store,
		listRecords,
		isOwner: record => permits.owns(record),
		onFailure({code, message}) {
			counters.add(`store.rate-limit-${code}`);
			log.line('rate-limit-not-stored', {reason: code, detail: message});
		},
		sleep,
		now,
	});
	const sharing: RateLimitSharing = new RateLimitSharing({
		rateLimits,
		broadcast(takeRecords) {
			void rateLimitBroadcast.broadcast(takeRecords);
		},
		onNewRecord() {
			void writer.run();
		},
		onLimited,
		counters,
		log,
		now,
		wallClock: () => Date.now(),
	});
	const onMalformed = ({code, message}: CodedError): void => {
		counters.add(`entry-refused.${code}`);
		refusals.line('rate-limit-refused', {subject: code, reason: code, detail: message});
	};

	return {
		rateLimits,
		sharing,
		warmupSharing,
		permits,
		use,
		handleWarmups: createBroadcastListener({
			subject: 'server-warmups', readRecord: readServerWarmup, receive: async message => warmupBroadcast.receive(message), onMalformed,
		}),
		handleRecords: createBroadcastListener({
			subject: 'rate-limits', readRecord: readRateLimit, receive: async message => rateLimitBroadcast.receive(message), onMalformed,
		}),
		handlePermits: createPermitListener({answer: request => permits.answer(request), onMalformed}),
		receiveFromStore(record) {
			writer.observe(record);
			sharing.receive({record, source: 'store'});
		},
		restoreRecords() {
			writer.restoreAll();
		},
		updateInstances() {
			// Changes of the store come in batches, which are applied together.
			areCandidatesOutdated = true;
			queueMicrotask(updateCandidates);
		},
		listRates: () => new Map(listRecords().flatMap(({name, requestsPerSecond}) => requestsPerSecond === undefined ? [] : [[name, requestsPerSecond]])),
		forget({server, restartedAtMs}) {
			permits.forget(server.name);
			sharing.forget(server.name);
			writer.forget(server.name);
			if (restartedAtMs !== undefined) {
				sharing.keepForStart({server, startedAtMs: restartedAtMs});
			}
		},
		stop() {
			writer.stop();
			client.close();
		},
	};
}
