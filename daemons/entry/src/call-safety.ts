/** Creates and wires the parts that protect calls from faulty connections and crashing requests: connections to backend servers, crash detection and the quarantine. */
import type {Counters, EventRecord} from '@pomelopick/core.telemetry';
import type {Endpoint, Instance} from '@pomelopick/core.types';
import {BackendConnections} from '@pomelopick/calls.connections';
import {connectionsPerInstance} from '@pomelopick/steering.subsets';
import {
	createPeerSharing, CrashDetector, copyFromPeers, Quarantine,
} from '@pomelopick/calls.quarantine';
import type {Settings} from '@pomelopick/config.settings';
import {PeerClients} from '@pomelopick/peer.transport';

const LEARN_RETRY_MS = 500;
const MAX_LEARN_TRIES = 20;

/** Options of {@link createCallSafety}. */
export interface CreateCallSafetyOptions {
	readonly settings: Settings;
	readonly counters: Counters;
	readonly events: EventRecord;
	readonly listInstances: () => readonly Instance[];
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Parts that protect calls. */
export interface CallSafety {
	readonly connections: BackendConnections;
	readonly quarantine: Quarantine;
	readonly crashDetector: CrashDetector;
	start(): void;
	stop(): Promise<void>;
}

/** Creates the parts. */
export function createCallSafety({settings, counters, events, listInstances, now}: CreateCallSafetyOptions): CallSafety {
	const peerClients = new PeerClients({sourceAddress: settings.peerSourceAddress});
	const listPeers = (): readonly Endpoint[] => listInstances().filter(({id}) => id !== settings.instance).map(({peers}) => peers);
	const connections = new BackendConnections({
		now, maxPerServer: server => connectionsPerInstance({instances: listInstances().length, connections: server.connections}), onReplaced({server, connections: count}) {
			counters.add('connections.replaced', count);
			events.add({kind: 'repair', message: 'silent connections replaced', fields: {server, connections: count}});
		},
	});
	const stopped = new AbortController();
	const quarantine = new Quarantine({
		instance: settings.instance,
		firstSequence: Date.now(),
		sharing: createPeerSharing({
			clients: peerClients, listPeers, now, signal: stopped.signal, onFailure(message) {
				counters.add('quarantine.peer-not-told');
				events.add({kind: 'quarantine', message: 'an instance could not be informed of a crash report', fields: {message}});
			},
		}),
		counters,
		events,
		now,
	});
	const crashDetector = new CrashDetector({
		isGone: async server => connections.hasCrashed(server), reportCrash: async crash => quarantine.reportCrash(crash), now, clockOffsetMs: Date.now() - now(),
	});
	let timer: NodeJS.Timeout | undefined;
	let tries = 0;
	const learn = async (): Promise<void> => {
		tries += 1;
		const hasLearned = await copyFromPeers({
			clients: peerClients, peers: listPeers(), quarantine, now,
		});
		if (!hasLearned && tries < MAX_LEARN_TRIES) {
			timer = setTimeout(() => {
				void learn();
			}, LEARN_RETRY_MS);
		}
	};

	return {
		connections,
		quarantine,
		crashDetector,
		start() {
			connections.start();
			void learn();
		},
		async stop() {
			clearTimeout(timer);
			stopped.abort();
			peerClients.close();
			await connections.close();
		},
	};
}
