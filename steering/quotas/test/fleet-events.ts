/** Orders of failures of a modelled fleet. */
import fc from 'fast-check';
import type {ModelledFleet} from './modelled-fleet.js';
import type {ModelledInstance} from './modelled-instance.js';

/** Number of instances that events concern. */
export const INSTANCES = 6;

const index = fc.integer({min: 0, max: INSTANCES - 1});
/** Something that happens to a fleet. */
export const anEvent = fc.oneof(
	fc.record({kind: fc.constantFrom('kill', 'restart', 'shut-down', 'cut-off', 'reconnect', 'kill-owner', 'cut-off-owner', 'return', 'lose-store', 'regain-store', 'hold-view', 'release-view', 'lose-answers', 'get-answers'), index}),
	fc.record({kind: fc.constantFrom('freeze', 'suspend'), index, durationMs: fc.integer({min: 300, max: 20_000})}),
	fc.record({kind: fc.constant('wait'), durationMs: fc.constantFrom(200, 600, 1000, 2400, 4800, 7000, 12_000, 30_000, 590_000, 612_000)}),
);

/** Kinds of the events above, and of those that only single tests use. */
export type EventKind = (typeof anEvent extends fc.Arbitrary<infer Event extends {readonly kind: string}> ? Event['kind'] : never) | 'shut-down-owner' | 'suspend-owner' | 'restart-killed' | 'reconnect-all';

interface FleetEvent {
	readonly kind: EventKind;
	readonly index?: number;
	readonly durationMs?: number;
}

/** What events change at their instance; those of an owner concern the owner of the shard with their index. */
const changes: Readonly<Partial<Record<EventKind, Partial<ModelledInstance>>>> = {
	kill: {process: undefined},
	'kill-owner': {process: undefined},
	'cut-off': {isCutOff: true},
	'cut-off-owner': {isCutOff: true},
	reconnect: {isCutOff: false},
	'hold-view': {isViewHeld: true},
	'release-view': {isViewHeld: false},
	'lose-answers': {losesAnswers: true},
	'get-answers': {losesAnswers: false},
};

/** Lets an event happen. */
export function apply({fleet, event: {kind, index: position = 0, durationMs = 0}}: {readonly fleet: ModelledFleet; readonly event: FleetEvent}): void {
	const owner = kind.endsWith('-owner') ? findOwner({fleet, shard: position % 4}) : undefined;
	const instance = owner ?? fleet.instances[position]!;
	Object.assign(instance, changes[kind]);
	switch (kind) {
		case 'restart': {
			instance.start();
			break;
		}

		case 'restart-killed': {
			for (const killed of fleet.instances.filter(({process}) => !process)) {
				killed.start();
			}

			break;
		}

		case 'reconnect-all': {
			for (const each of fleet.instances) {
				each.isCutOff = false;
			}

			break;
		}

		case 'shut-down':
		case 'shut-down-owner': {
			fleet.shutDown(instance);
			break;
		}

		case 'freeze': {
			instance.frozenUntilMs = Math.max(instance.frozenUntilMs, fleet.nowMs + durationMs);
			break;
		}

		case 'suspend':
		case 'suspend-owner': {
			if (fleet.nowMs >= instance.frozenUntilMs) {
				fleet.suspend({instance, durationMs});
			}

			break;
		}

		case 'return': {
			fleet.store.returnFromCopy();
			break;
		}

		case 'lose-store':
		case 'regain-store': {
			fleet.store.isAvailable = kind === 'regain-store';
			break;
		}

		default: {
			fleet.play(durationMs);
		}
	}
}

/** The instance that owns a shard; undefined: the shard has no owner. */
export function findOwner({fleet, shard}: {readonly fleet: ModelledFleet; readonly shard: number}): ModelledInstance | undefined {
	const owner = fleet.store.state.records.get(shard)?.record.owner?.id;
	return fleet.instances.find(({id}) => id === owner);
}

/** Plays events, and the time after them. */
export function playAll({fleet, events}: {readonly fleet: ModelledFleet; readonly events: readonly unknown[]}): void {
	for (const event of events) {
		apply({fleet, event: event as FleetEvent});
		fleet.play(400);
	}

	fleet.play(8000);
}
