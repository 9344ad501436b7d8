/** Creates and wires the parts of an instance that run each keyed call at most once. */
import type {ConnectRouter} from '@connectrpc/connect';
import {
	isFirstOwner, Journal, JournalKeyGuard, OwnerCalls,
} from '@pomelopick/calls.journal';
import type {Settings} from '@pomelopick/config.settings';
import type {Counters} from '@pomelopick/core.telemetry';
import type {Instance} from '@pomelopick/core.types';
import type {PeerClients} from '@pomelopick/peer.transport';
import {PlatformStore} from '@pomelopick/platform.store';

const STORE_CALL_TIMEOUT_MS = 400;

/** Options of {@link createKeyedCalls}. */
export interface CreateKeyedCallsOptions {
	readonly settings: Settings;
	readonly clients: PeerClients;
	readonly counters: Counters;
	/** Instances that can take work. */
	readonly liveInstances: () => readonly Instance[];
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** The parts that handle keyed calls. */
export interface KeyedCalls {
	readonly guard: JournalKeyGuard;
	/** Registers the service that other instances call. */
	register(router: ConnectRouter): void;
	/** Waits until outcomes in progress are stored, then closes. */
	stop(): Promise<void>;
}

/** Creates the journal of this instance, and the guard that checks keys in the journals of all instances. */
export function createKeyedCalls({settings, clients, counters, liveInstances, now}: CreateKeyedCallsOptions): KeyedCalls {
	const store = new PlatformStore({endpoint: settings.store, callTimeoutMs: STORE_CALL_TIMEOUT_MS});
	const onEvent = (name: string): void => {
		counters.add(name);
	};

	const journal = new Journal({
		store,
		onEvent,
		now,
		wallClock: () => Date.now(),
		countInstances: () => liveInstances().length,
		isFirstOwner: shard => isFirstOwner({shard, self: settings.instance, instances: liveInstances()}),
	});
	const owners = new OwnerCalls({
		self: settings.instance, journal, peers: clients, liveInstances, now, onEvent,
	});
	const guard = new JournalKeyGuard({owners, now, onEvent});
	return {
		guard,
		register(router) {
			journal.register(router);
		},
		async stop() {
			await guard.drain();
			journal.stop();
			await store.close();
		},
	};
}
