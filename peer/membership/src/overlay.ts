/**
 * Chooses which instances observe which: each instance observes its successor on several rings, each ordered by a different hash.
 *
 * Rings over random permutations form an expander graph whose degree does not depend on the number of instances, see
 * L. Suresh and others, "Stable and Consistent Membership at Scale with Rapid", USENIX ATC 2018.
 */
import {hashText} from '@pomelopick/core.text-hash';
import type {Instance, InstanceId} from '@pomelopick/core.types';
import type {RegionOf} from './member.js';

/** Rings over the instances of one region; they distinguish a dead instance from a region that is cut off. */
const REGION_RINGS = 2;
/** Rings over all instances. */
const FLEET_RINGS = 2;
/** Maximum steps of an observer along a ring in search of an instance that is alive. */
const MAX_STEPS = 4;

/** Options of {@link Overlay}. */
export interface OverlayOptions {
	readonly instances: readonly Instance[];
	readonly regionOf: RegionOf;
}

interface RingPlace {
	readonly ring: readonly InstanceId[];
	readonly position: number;
}

/** The rings over one set of instances. */
export class Overlay {
	readonly #places: ReadonlyMap<InstanceId, readonly RingPlace[]>;

	constructor({instances, regionOf}: OverlayOptions) {
		const places = new Map<InstanceId, RingPlace[]>(instances.map(({id}) => [id, []]));
		const addRing = (name: string, members: readonly Instance[]): void => {
			const ring = orderRing({name, members});
			for (const [position, id] of ring.entries()) {
				places.get(id)!.push({ring, position});
			}
		};

		for (let index = 0; index < FLEET_RINGS; index += 1) {
			addRing(`fleet-${index}`, instances);
		}

		const byRegion = groupByRegion({instances, regionOf});
		for (const [region, members] of byRegion) {
			for (let index = 0; index < REGION_RINGS; index += 1) {
				addRing(`region-${region}-${index}`, members);
			}
		}

		this.#places = places;
	}

	/** Instances that `observer` observes: on each ring the next one that is alive, and those skipped on the way to it. */
	subjectsOf({observer, isAlive}: {readonly observer: InstanceId; readonly isAlive: (id: InstanceId) => boolean}): ReadonlySet<InstanceId> {
		const subjects = new Set<InstanceId>();
		for (const {ring, position: start} of this.#places.get(observer) ?? []) {
			for (let step = 1; step <= Math.min(MAX_STEPS, ring.length - 1); step += 1) {
				const next = ring[(start + step) % ring.length]!;
				subjects.add(next);
				if (isAlive(next)) {
					break;
				}
			}
		}

		return subjects;
	}

	/** Instances whose successor on some ring is `subject`. */
	observersOf(subject: InstanceId): ReadonlySet<InstanceId> {
		const observers = new Set<InstanceId>();
		for (const {ring, position} of this.#places.get(subject) ?? []) {
			const previous = ring.at(position - 1)!;
			if (previous !== subject) {
				observers.add(previous);
			}
		}

		return observers;
	}
}

/** Region of an instance; a failure domain that is not in the configuration is treated as a separate region. */
export function regionNameOf({instance, regionOf}: {readonly instance: Instance; readonly regionOf: RegionOf}): string {
	return regionOf(instance.failureDomain) ?? `domain:${instance.failureDomain}`;
}

function groupByRegion({instances, regionOf}: OverlayOptions): Map<string, Instance[]> {
	const groups = new Map<string, Instance[]>();
	for (const instance of instances) {
		const region = regionNameOf({instance, regionOf});
		const group = groups.get(region) ?? [];
		group.push(instance);
		groups.set(region, group);
	}

	return groups;
}

function orderRing({name, members}: {readonly name: string; readonly members: readonly Instance[]}): readonly InstanceId[] {
	return members
		.map(({id}) => ({id, position: hashText(`${name}\0${id}`)}))
		.sort((left, right) => (left.position < right.position ? -1 : Number(left.position > right.position)) || left.id.localeCompare(right.id))
		.map(({id}) => id);
}
