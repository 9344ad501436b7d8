/** Creates and wires the store's client, this instance's view of the store, and the registration of this instance. */
import {setTimeout as startTimeout} from 'node:timers/promises';
import {
	AllowanceParts, ChangeRelay, instanceKey, isRefusal, LiveView, PeerBroadcast, Registration, sendBroadcastMessage, StoreFeed, suspicionReader, SuspicionWriter, UpstreamClient, UpstreamLink,
} from '@pomelopick/calls.live';
import type {
	ViewChange, InstanceRecord, LostServer, SnapshotReason, SuspicionRecord,
} from '@pomelopick/calls.live';
import type {SuspicionSharing} from '@pomelopick/calls.quarantine';
import {shardReader} from '@pomelopick/calls.quotas';
import type {ObserveOptions} from '@pomelopick/calls.quotas';
import {rateLimitReader} from '@pomelopick/calls.rate-limits';
import {RefusalLog} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {Endpoint, RouteSet} from '@pomelopick/core.types';
import {FIRST_ERA, PlatformStore, splitIndex} from '@pomelopick/platform.store';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {decodeRouteSet, decodeServer, readSubject} from '@pomelopick/platform.wire';
import {partReuseMs} from '@pomelopick/steering.limits';
import type {RetryBounds} from '@pomelopick/steering.limits';
import type {RateLimitRecord} from '@pomelopick/steering.servers';
import {StoreReturnReport} from './store-return-report.js';

/** Timeout of a call to the store other than a watch, in milliseconds. */
const STORE_CALL_TIMEOUT_MS = 1000;
/** Timeout for connecting to the store, in milliseconds; short, so that the end of a network cut is noticed soon. */
const STORE_CONNECT_TIMEOUT_MS = 400;
/** Prefix of all keys: those of the operator, of the servers and of the instances. */
const ALL_KEYS_PREFIX = '';

/** Texts of the log for the reasons of a snapshot. */
const snapshotReasons: Readonly<Record<SnapshotReason, string>> = {
	first: 'first read', 'history-lost': 'the store lost its history', 'store-returned': 'the store returned from an older copy',
};

/** Options of {@link createView}. */
export interface CreateViewOptions {
	readonly store: Endpoint;
	readonly self: InstanceRecord;
	/** Sequence number before the first one that this run of the instance assigns to its records for other instances. */
	readonly firstSequence: number;
	/** Bounds of the retry budget that each service has in the whole fleet. */
	readonly retries: () => RetryBounds;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	readonly onRoutes: (set: RouteSet) => void;
	readonly onSuspicion: (record: SuspicionRecord) => void;
	/** Called with each record about the rate limit of a server. */
	readonly onRateLimit: (record: RateLimitRecord) => void;
	/** Called with each record about the owner of a shard of the quotas. */
	readonly onQuotaShard: (options: ObserveOptions) => void;
	/** Called after the store was read whole. */
	readonly onRead: (options: {readonly isFirst: boolean; readonly isFirstEra: boolean}) => void;
	/** Called when the registration of this instance was confirmed by a call that was sent at a monotonic time in milliseconds, or lost (undefined). */
	readonly onRegistration: (confirmedAtMs: number | undefined) => void;
	readonly onServerLost: (lost: LostServer) => void;
	/** Called when the store has returned from an older copy, which may lack records that this instance has written. */
	readonly onStoreReturned: () => void;
	/** Called after an instance was registered or removed. */
	readonly onInstances: () => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** The view, and those of its parts that are used from outside. */
export interface ViewParts {
	readonly store: KeyValueStore;
	readonly view: LiveView;
	readonly feed: StoreFeed;
	/** Relays the store's changes to other instances. */
	readonly changeRelay: ChangeRelay;
	/** Shares requests that crash servers with the other instances, by the store. */
	readonly sharing: SuspicionSharing;
	/** Sends them directly to the other instances, without the store. */
	readonly suspicionBroadcast: PeerBroadcast<SuspicionRecord>;
	/** Claims a part of a service's retry allowance, which all instances share. */
	readonly claimAllowance: AllowanceParts['claim'];
	start(): void;
	/** Changes this instance's record. */
	updateRecord(record: InstanceRecord): void;
	/** Removes this instance's record, so that callers are no longer directed here. */
	leave(): Promise<void>;
	stop(): Promise<void>;
}

/** Creates the view. It is updated once {@link ViewParts.start} has been called. */
export function createView({store: endpoint, self, firstSequence, retries, counters, log, onRoutes, onSuspicion, onRateLimit, onQuotaShard, onRead, onRegistration, onServerLost, onStoreReturned, onInstances, now, random}: CreateViewOptions): ViewParts {
	// Unreferenced timers: the process is kept running by its listeners, not by pauses between calls.
	const sleep = async (milliseconds: number): Promise<void> => startTimeout(milliseconds, undefined, {ref: false});
	const refusals = new RefusalLog({log, now});
	const store = new PlatformStore({
		endpoint,
		callTimeoutMs: STORE_CALL_TIMEOUT_MS,
		connectTimeoutMs: STORE_CONNECT_TIMEOUT_MS,
		onOddItem({key, detail}) {
			counters.add('store.odd-item');
			refusals.line('store-item-odd', {subject: key, detail});
		},
		onReturn({era}) {
			counters.add('store.returned');
			log.line('store-returned', {storeEra: era, detail: 'the store has returned from an older copy; it is read again, and the own records are written again'});
			returnReport.begin({era});
			feed.recordReturn({era});
			allowance.recordReturn();
			registration.restore();
			sharing.restoreAll();
			onStoreReturned();
		},
	});
	const returnReport = new StoreReturnReport({log, now});
	const allowance: AllowanceParts = new AllowanceParts({
		store, instance: self.id, reuseMs: () => partReuseMs(retries()), countInstances: () => view.instances.maxCount, now, random,
	});
	const onChange = (change: ViewChange): void => {
		counters.add(`belief.${change.event}`);
		const fields = {
			subject: change.subject, detail: change.detail, ...(change.reason !== undefined && {reason: change.reason}), storeIndex: splitIndex(change.storeIndex).revision,
		};
		if (isRefusal(change)) {
			refusals.line(change.event, fields);
		} else {
			refusals.accept(change.subject);
			log.line(change.event, fields);
		}

		if (change.reason !== undefined) {
			counters.add(`entry-refused.${change.reason}`);
		}

		if (change.event === 'instance-joined' || change.event === 'instance-left') {
			onInstances();
		}

		const isOwnRecordLost = (change.event === 'instance-left' && change.subject === self.id) || (change.event === 'instance-refused' && change.subject === instanceKey(self.id));
		if (isOwnRecordLost) {
			onRegistration(undefined);
			registration.restore();
		}
	};

	const view: LiveView = new LiveView({
		format: {readSubject, decodeRouteSet, decodeServer},
		onChange,
		onRoutes,
		recordReaders: [allowance, suspicionReader({
			onRecord: onSuspicion, onMalformed: onChange, remove(key) {
				sharing.restore(key);
			},
		}), rateLimitReader({onRecord: onRateLimit, onMalformed: onChange}), shardReader({onRecord: onQuotaShard, onMalformed: onChange})],
		onServerLost,
	});
	const changeRelay = new ChangeRelay({now});
	const upstreamClient = new UpstreamClient();
	const upstreams = new UpstreamLink({
		self,
		instances: () => view.instances.list(),
		requestChanges: async options => upstreamClient.requestChanges(options),
		onChange({kind, upstream, detail}) {
			counters.add(`upstream.${kind}`);
			log.line(`upstream-${kind}`, {subject: upstream, detail});
		},
		now,
	});
	const feed = new StoreFeed({
		store,
		view,
		relay: changeRelay,
		upstreams,
		prefix: ALL_KEYS_PREFIX,
		sleep,
		now,
		random,
		onAvailability({isAvailable, detail}) {
			counters.add(isAvailable ? 'store.regained' : 'store.lost');
			log.line(isAvailable ? 'store-regained' : 'store-lost', {detail});
		},
		onSnapshot({values, era, reason}) {
			if (reason === 'first') {
				allowance.recordFirstRead({era});
			}

			onRead({isFirst: reason === 'first', isFirstEra: era <= FIRST_ERA});
			log.line('store-read', {values, storeEra: era, why: snapshotReasons[reason]});
			returnReport.recordRead({era, values});
		},
	});
	const registration = new Registration({
		store,
		record: self,
		sleep,
		now,
		onConfirmed: onRegistration,
		onState(state) {
			log.line(`record-${state}`, {});
			if (state === 'lapsed') {
				onRegistration(undefined);
			}

			if (state === 'registered') {
				returnReport.recordRegistered();
			}
		},
		onFailure({code, message}) {
			counters.add(`store.record-${code}`);
			if (!feed.isFailing) {
				log.line('record-failed', {reason: code, detail: message});
			}
		},
	});
	const suspicionBroadcast = new PeerBroadcast<SuspicionRecord>({
		self: self.id,
		instances: () => view.instances.list(),
		send: async options => sendBroadcastMessage({subject: 'suspicions', ...options}),
		onRecord: onSuspicion,
		sleep,
		onFailure({instance, error: {code, message}}) {
			counters.add(`peer.${code}`);
			log.line('peer-not-told', {subject: instance, reason: code, detail: message});
		},
	});
	const sharing: SuspicionWriter = new SuspicionWriter({
		store,
		instance: self.id,
		firstSequence,
		onFailure({code, message}) {
			counters.add(`store.suspicion-${code}`);
			log.line('suspicion-not-shared', {reason: code, detail: message});
		},
		sendDirectly(listRecords) {
			counters.add('peer.suspicions-told');
			void suspicionBroadcast.broadcast(listRecords);
		},
		sleep,
		now,
	});
	return {
		store,
		view,
		feed,
		changeRelay,
		sharing,
		suspicionBroadcast,
		claimAllowance: async service => allowance.claim(service),
		start() {
			void feed.run();
			void registration.run();
		},
		updateRecord(record) {
			registration.update(record);
		},
		async leave() {
			changeRelay.close();
			await registration.leave();
		},
		async stop() {
			feed.stop();
			sharing.stop();
			upstreamClient.close();
			await store.close();
		},
	};
}
