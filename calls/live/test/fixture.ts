/** A live view that follows its own stand-in of the store, with the changes that it reported. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Left} from 'purify-ts';
import {
	ChangeRelay, LiveView, StoreFeed, UpstreamLink,
} from '@pomelopick/calls.live';
import type {ViewChange, InstanceRecord} from '@pomelopick/calls.live';
import {PlatformStore} from '@pomelopick/platform.store';
import {decodeRouteSet, decodeServer, readSubject} from '@pomelopick/platform.wire';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {PlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {
	FailureDomainName, InstanceId, RegionName, ServiceName,
} from '@pomelopick/core.types';

const DEADLINE_MS = 10_000;
const POLL_MS = 5;

/** A stand-in of the store and the view that follows it. */
export interface Fixture {
	readonly platform: PlatformStandIn;
	readonly store: PlatformStore;
	readonly view: LiveView;
	readonly feed: StoreFeed;
	/** Changes that the view reported, in order. */
	readonly reported: ViewChange[];
	/** Names of the usable servers of the service `ledger`. */
	readonly usable: () => readonly string[];
	readonly write: (key: string, value: unknown) => void;
	readonly stop: () => Promise<void>;
}

const self: InstanceRecord = {
	id: 'own' as InstanceId, failureDomain: 'north-a' as FailureDomainName, region: 'north' as RegionName, callers: {address: '127.0.0.1', port: 80}, peers: undefined,
};

/** Starts a stand-in for the store and follows it. */
export async function startFixture(): Promise<Fixture> {
	const platform = await startPlatformStandIn();
	const store = new PlatformStore({endpoint: platform.endpoint, callTimeoutMs: 300});
	const reported: ViewChange[] = [];
	const view = new LiveView({
		format: {readSubject, decodeRouteSet, decodeServer},
		onChange(change) {
			reported.push(change);
		},
		onRoutes() {/* Covered by onChange. */},
		recordReaders: [],
		onServerLost() {/* Covered by onChange. */},
	});
	const now = (): number => performance.now();
	const upstreams = new UpstreamLink({
		self, instances: () => [], requestChanges: async () => Left({code: 'none', message: 'there is no other instance'}), onChange() {/* There is no upstream. */}, now,
	});
	const feed = new StoreFeed({
		store,
		view,
		prefix: '',
		relay: new ChangeRelay({now}),
		upstreams,
		sleep,
		onAvailability() {/* Covered by the state of the feed. */},
		onSnapshot() {/* Covered by the view. */},
		now,
		random: () => 0.5,
	});
	const running = feed.run();
	return {
		platform,
		store,
		view,
		feed,
		reported,
		usable: () => view.servers.listUsable('ledger' as ServiceName).map(({server}) => String(server.name)).sort(),
		write(key, value) {
			platform.keyValues.put({key, value: new TextEncoder().encode(typeof value === 'string' ? value : JSON.stringify(value))});
		},
		async stop() {
			feed.stop();
			await store.close();
			await running;
			await platform.stop();
		},
	};
}

/** Waits until a condition is true; rejects when it is not within the deadline. */
export async function until(isTrue: () => boolean): Promise<void> {
	const endMs = performance.now() + DEADLINE_MS;
	while (!isTrue()) {
		if (performance.now() > endMs) {
			throw new Error('the condition did not become true in time');
		}

		await sleep(POLL_MS);
	}
}

/** Entry of a server of the service `ledger`. */
export function entry(changes: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
	return {
		service: 'ledger', address: '10.0.0.1:80', zone: 'north-a', version: 'v1', slots: 4, state: 'ready', 'warmup-left-s': 0, sequence: 1, born: 1000, ...changes,
	};
}

/** A configuration with one route. */
export function routes(version: string): Record<string, unknown> {
	return {
		version,
		routes: {columns: ['name', 'host', 'prefix', 'kind', 'timeout-s', 'target-latency-s', 'max-attempts', 'service'], rows: [['r', 'a.example', '/', 'idempotent', 1, 0.4, 2, 'ledger']]},
		services: {columns: ['name', 'max-conns'], rows: [['ledger', 300]]},
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 1000, 'header-timeout-s': 3, 'idle-timeout-s': 15,
		},
	};
}
