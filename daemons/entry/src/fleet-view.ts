/** Creates and connects the membership and the configuration distribution of one instance. */
import type {ConfigurationSet, FailureDomainName, RegionName} from '@pomelopick/core.types';
import type {Counters, EventRecord} from '@pomelopick/core.telemetry';
import {createLog} from '@pomelopick/core.telemetry';
import {Distribution} from '@pomelopick/config.distribution';
import type {ConfigurationHolder} from '@pomelopick/config.distribution';
import type {Settings} from '@pomelopick/config.settings';
import {Membership} from '@pomelopick/peer.membership';
import type {PeerCaller} from '@pomelopick/peer.transport';
import {ConsulInstanceList} from '@pomelopick/platform.instances';
import type {KeyValueStore} from '@pomelopick/platform.store';

/** Options of {@link startFleetView}. */
export interface StartFleetViewOptions {
	readonly settings: Settings;
	readonly store: KeyValueStore;
	readonly holder: ConfigurationHolder;
	readonly clients: PeerCaller;
	readonly counters: Counters;
	readonly events: EventRecord;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly drawPart: () => number;
	/** Utilisation of the call limit, from 0 to 1. */
	readonly load: () => number;
	/** Awaited before a set becomes active. */
	readonly prepare: (set: ConfigurationSet) => Promise<void>;
}

/** One instance's view of the fleet and of the newest configuration. */
export interface FleetView {
	readonly membership: Membership;
	readonly distribution: Distribution;
	/** Closes the client of the platform's list. */
	stop(): Promise<void>;
}

/** Creates both parts and connects them. The caller starts them once the endpoints of this instance are known. */
export function startFleetView({settings, store, holder, clients, counters, events, now, drawPart, load, prepare}: StartFleetViewOptions): FleetView {
	const log = createLog('configuration');
	const instanceList = new ConsulInstanceList({endpoint: settings.instanceList});
	let regions: ReadonlyMap<FailureDomainName, RegionName> = new Map();
	const membership: Membership = new Membership({
		clients,
		readList: () => instanceList.read(),
		seeds: settings.seeds,
		regionOf: domain => regions.get(domain),
		load,
		heldVersion: () => distribution.activeVersion,
		onPeerVersion(peer) {
			distribution.receivePeerVersion(peer);
		},
		onFailure(message) {
			counters.add('membership.list-failure');
			events.add({kind: 'membership', message});
		},
		now,
		wallClock: () => Date.now(),
		random: drawPart,
	});
	const distribution: Distribution = new Distribution({
		self: settings.instance,
		store,
		clients,
		holder,
		liveInstances: () => membership.liveInstances(),
		now,
		random: drawPart,
		prepare,
		onFailure(message) {
			counters.add('store.failure');
			events.add({kind: 'store', message});
		},
		onDamagedChunk(message) {
			counters.add('configuration.damaged-chunk');
			events.add({kind: 'configuration', message});
		},
	});
	holder.onChange(({root, set}) => {
		const ageMs = Math.round(distribution.activeVersion.ageMs);
		log('version %d is active, last confirmed by the store %d ms ago', root.version, ageMs);
		events.add({kind: 'configuration', message: 'version became active', fields: {version: root.version, ageMs}});
		regions = new Map(set.failureDomains.map(({name, region}) => [name, region]));
		membership.useRegions();
		membership.announceVersion();
	});
	recordChanges({membership, events});
	return {membership, distribution, stop: async () => instanceList.close()};
}

/** Records an event for each change of an instance's state and for each instance that is no longer known. */
function recordChanges({membership, events}: {readonly membership: Membership; readonly events: EventRecord}): void {
	let known = new Map<string, string>();
	membership.onChange(members => {
		const next = new Map(members.map(({instance, alive, isolated}): [string, string] => [instance.id, alive ? (isolated ? 'isolated' : instance.state) : 'dead']));
		for (const [id, state] of next) {
			if (known.get(id) !== state) {
				events.add({kind: 'membership', message: `instance ${id} is ${state}`, fields: {subject: id, state, before: known.get(id) ?? 'unknown'}});
			}
		}

		for (const id of known.keys()) {
			if (!next.has(id)) {
				events.add({kind: 'membership', message: `instance ${id} is no longer known`, fields: {subject: id, state: 'unknown', before: known.get(id) ?? 'unknown'}});
			}
		}

		known = next;
	});
}
