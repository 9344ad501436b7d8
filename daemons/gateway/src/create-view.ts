/** Wires the store, the view of it that this instance keeps, and this instance's own record. */
import {setTimeout as startTimeout} from 'node:timers/promises';
import {
	AllowanceParts, ChangeRelay, LiveView, Registration, sendSuspicions, StoreFeed, suspicionReader, SuspicionSender, SuspicionWriter, UpstreamClient, UpstreamLink,
} from '@pomelopick/calls.live';
import type {ViewChange, InstanceRecord, SuspicionRecord} from '@pomelopick/calls.live';
import type {SuspicionSharing} from '@pomelopick/calls.quarantine';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {BackendServerName, Endpoint, RouteSet} from '@pomelopick/core.types';
import {PlatformStore} from '@pomelopick/platform.store';
import {decodeRouteSet, decodeServer, readSubject} from '@pomelopick/platform.wire';
import {partReuseMs} from '@pomelopick/steering.limits';
import type {RetryBounds} from '@pomelopick/steering.limits';

/** Deadline of a call to the store other than a watch, in milliseconds. */
const STORE_CALL_TIMEOUT_MS = 1000;
/** Time in which a connection to the store must be made, in milliseconds: a cut that heals is found out soon. */
const STORE_CONNECT_TIMEOUT_MS = 400;
/** All keys: what the operator and the servers write, and the instances' own records. */
const EVERYTHING = '';

/** Options of {@link createView}. */
export interface CreateViewOptions {
	readonly store: Endpoint;
	readonly self: InstanceRecord;
	/** Number before the first that this life of the instance gives to what it tells the others. */
	readonly firstSequence: number;
	/** Retry budget of each service over the whole fleet. */
	readonly retries: () => RetryBounds;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	readonly onRoutes: (set: RouteSet) => void;
	readonly onSuspicion: (record: SuspicionRecord) => void;
	readonly onServerLost: (name: BackendServerName) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** The running view. */
export interface ViewParts {
	readonly view: LiveView;
	readonly feed: StoreFeed;
	/** Passes the store's changes on to other instances. */
	readonly changeRelay: ChangeRelay;
	/** Tells the other instances of requests that crash servers. */
	readonly sharing: SuspicionSharing;
	/** Tells them without the store. */
	readonly suspicionTeller: SuspicionSender;
	/** Claims a part of a service's allowance of further sends. */
	readonly claimAllowance: AllowanceParts['claim'];
	start(): void;
	/** Takes this instance's record out, so that callers are no longer led here. */
	leave(): Promise<void>;
	stop(): Promise<void>;
}

/** Creates the view; it is kept up from {@link ViewParts.start} on. */
export function createView({store: endpoint, self, firstSequence, retries, counters, log, onRoutes, onSuspicion, onServerLost, now, random}: CreateViewOptions): ViewParts {
	// The listeners keep the process going, the pauses between calls do not.
	const sleep = async (milliseconds: number): Promise<void> => startTimeout(milliseconds, undefined, {ref: false});
	const store = new PlatformStore({endpoint, callTimeoutMs: STORE_CALL_TIMEOUT_MS, connectTimeoutMs: STORE_CONNECT_TIMEOUT_MS});
	const allowance: AllowanceParts = new AllowanceParts({
		store, instance: self.id, reuseMs: () => partReuseMs(retries()), countInstances: () => view.instances.most, now, random,
	});
	const onChange = (change: ViewChange): void => {
		counters.add(`belief.${change.event}`);
		log.line(change.event, {subject: change.subject, detail: change.detail, storeIndex: change.storeIndex});
		if (change.event === 'instance-left' && change.subject === self.id) {
			registration.restore();
		}
	};

	const view: LiveView = new LiveView({
		format: {readSubject, decodeRouteSet, decodeServer},
		onChange,
		onRoutes,
		records: [allowance, suspicionReader({
			onRecord: onSuspicion, onRefused: onChange, remove(key) {
				sharing.restore(key);
			},
		})],
		onServerLost,
	});
	const changeRelay = new ChangeRelay({now});
	const upstreamClient = new UpstreamClient();
	const upstreams = new UpstreamLink({
		self,
		instances: () => view.instances.list(),
		askEndpoint: async options => upstreamClient.ask(options),
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
		prefix: EVERYTHING,
		sleep,
		now,
		random,
		onAvailability({isAvailable, detail}) {
			counters.add(isAvailable ? 'store.regained' : 'store.lost');
			log.line(isAvailable ? 'store-regained' : 'store-lost', {detail});
		},
		onRead({values, isReread}) {
			log.line('store-read', {values, why: isReread ? 'its history was lost' : 'first reading'});
		},
	});
	const registration = new Registration({
		store,
		record: self,
		sleep,
		onState(state) {
			log.line(`record-${state}`, {});
		},
		onFailure({code, message}) {
			counters.add(`store.record-${code}`);
			if (!feed.isFailing) {
				log.line('record-failed', {reason: code, detail: message});
			}
		},
	});
	const suspicionTeller = new SuspicionSender({
		self: self.id,
		instances: () => view.instances.list(),
		send: sendSuspicions,
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
		tellDirectly(listRecords) {
			counters.add('peer.suspicions-told');
			void suspicionTeller.broadcast(listRecords);
		},
		sleep,
		now,
	});
	return {
		view,
		feed,
		changeRelay,
		sharing,
		suspicionTeller,
		claimAllowance: async service => allowance.claim(service),
		start() {
			void feed.run();
			void registration.run();
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
