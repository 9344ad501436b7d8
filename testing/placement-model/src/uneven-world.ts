/** A deployment with uneven regions and servers, and many instances that each send a small share of the requests. */
import type {RequestKind} from './request-kind.js';
import {warmLoad, World} from './world.js';
import type {ModelRegion, WorldOptions} from './world.js';

/** Length of a play, and the first part of it that is not counted, in milliseconds. */
export const UNEVEN_DURATION_MS = 30_000;
export const UNEVEN_COUNTED_FROM_MS = 3000;
/** Loads that are compared when none is named. */
export const UNEVEN_LOADS: readonly number[] = [0.2, 0.25, 0.3, 0.35];

const ROUTES = 8;
const WARM_MS = 140;
/** Work at a server that remembers the object, as a share of the work at one that does not. */
const WARM_SHARE = 0.3;

const kinds: readonly RequestKind[] = Array.from({length: ROUTES}, (_, index) => ({
	name: `route ${index + 1}`, share: 1 / ROUTES, targetLatencyMs: 600, deadlineMs: 3000, warmMs: WARM_MS, coldMs: WARM_MS / WARM_SHARE,
}));

const regions: readonly ModelRegion[] = [['middle', 56, 33], ['large', 68, 33], ['small', 14, 34]].map(([name, servers, instances]) => ({
	name: String(name), servers: Number(servers), instances: Number(instances), requestsPerSecond: 1, objects: 255,
}));

const options: WorldOptions = {
	regions,
	kinds,
	slots: 4,
	queue: 4,
	remembered: 17,
	rememberedSpread: 16,
	objectSkew: 0.9,
	hasSharedObjects: true,
	slowPhases: {share: 0.15, meanMs: 600, factor: 2.5},
	tail: {share: 0.03, factor: 7},
	retryShare: 0.1,
	nearMs: 2,
	farMs: 12,
};

/** The deployment at a load, which is the work of all requests with their objects in memory, at the usual speed and without the tail, over the slots. */
export function createUnevenWorld(load: number, changes: Partial<WorldOptions> = {}): World {
	const changed = {...options, ...changes};
	const factor = load / warmLoad(new World(changed));
	return new World({...changed, regions: changed.regions.map(region => ({...region, requestsPerSecond: region.requestsPerSecond * factor}))});
}
