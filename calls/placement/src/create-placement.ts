/** Assembles the placement of calls for a daemon. */
import type {ConnectRouter} from '@connectrpc/connect';
import type {PlaceCall} from '@pomelopick/calls.forwarding';
import type {
	ConfigurationSet, FailureDomainName, Instance, InstanceId, ShiftName,
} from '@pomelopick/core.types';
import type {PeerClients} from '@pomelopick/peer.transport';
import type {KeyValueStore} from '@pomelopick/platform.store';
import type {DrawInteger} from '@pomelopick/steering.choice';
import {LocalFallback} from './local-fallback.js';
import {ShiftGrants} from './shift-grants.js';
import type {GroupState, ServerSlots} from './slot-types.js';
import {SlotClient} from './slot-client.js';
import {SlotOwner} from './slot-owner.js';
import type {SlotGroupKey} from './slot-owner.js';
import {createSteeredPlacement} from './steered-placement.js';
import {ServerSubsets, withinSubset} from './subset-placement.js';

/** Dependencies of a placement. */
export interface PlacementDependencies {
	readonly instance: InstanceId;
	readonly failureDomain: FailureDomainName;
	readonly currentSet: () => ConfigurationSet | undefined;
	/** Version of the active configuration; 0 without one. */
	readonly currentVersion: () => number;
	readonly liveInstances: () => readonly Instance[];
	readonly peers: PeerClients;
	readonly store: KeyValueStore;
	readonly draw: DrawInteger;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly count: (counter: string) => void;
	/** Called when a shift aborted itself. */
	readonly onAbort: (options: {readonly shift: ShiftName; readonly detail: string}) => void;
}

/** State of a group of slots as one instance has it. */
export interface GroupSnapshot {
	/** Instance that owns the group and counts its slots. */
	readonly owner: InstanceId | undefined;
	/** Last state that the owner reported; undefined when no call of this instance used the group recently. */
	readonly state: GroupState | undefined;
	/** Counts of each backend server; empty unless this instance is the owner. */
	readonly servers: readonly ServerSlots[];
}

/** A placement with its lifecycle, as a daemon runs it. */
export interface RunningPlacement {
	readonly placeCall: PlaceCall;
	/** Registers the handlers of messages between instances. */
	readonly register: (router: ConnectRouter) => void;
	/** Applies a newer configuration. */
	readonly useSet: (set: ConfigurationSet) => void;
	/** Current state of the slots of a service in a region. */
	readonly snapshot?: (key: SlotGroupKey) => GroupSnapshot;
	/** Calls per second under each shift that this instance lets through. */
	readonly listShiftUse?: () => ReadonlyMap<ShiftName, number>;
	readonly start: () => void;
	readonly stop: () => Promise<void>;
}

/** Creates a placement from its dependencies. */
export type CreatePlacement = (parts: PlacementDependencies) => Promise<RunningPlacement>;

/** Creates a placement that takes slots from their owners. */
export const createOwnedPlacement: CreatePlacement = async parts => {
	const shifts = new ShiftGrants(parts);
	const owner = new SlotOwner({
		...parts,
		admitShift: traffic => shifts.admit(traffic),
		onSpillEnd({service, region, from, end, heldMs}) {
			shifts.recordEnd({
				service, from, to: region, heldMs, isGood: end === 'answered' || end === 'cancelled',
			});
		},
	});
	const slotClient = new SlotClient({...parts, owner});
	return {
		placeCall: withinSubset({placeCall: createSteeredPlacement({...parts, slotClient, fallback: new LocalFallback(parts)}), subsets: new ServerSubsets(parts)}),
		register(router) {
			owner.register(router);
		},
		useSet(set) {
			owner.useSet(set);
		},
		snapshot(key) {
			const ownerId = slotClient.ownerOf(key);
			return {owner: ownerId, state: slotClient.state(key), servers: ownerId === parts.instance ? owner.findGroup(key)?.snapshot() ?? [] : []};
		},
		listShiftUse: () => shifts.listUse(),
		start() {
			shifts.start();
			owner.start();
			slotClient.start();
		},
		async stop() {
			slotClient.stop();
			owner.stop();
			await shifts.stop();
		},
	};
};
