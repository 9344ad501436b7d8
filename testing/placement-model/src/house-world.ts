/** A deployment like those of both users: three regions of one service, one of them with few servers. */
import {warmLoad, World} from './world.js';
import type {ModelRegion} from './world.js';
import type {RequestKind} from './request-kind.js';

/** Length of a play, and the first part of it that is not counted, in milliseconds. */
export const DURATION_MS = 60_000;
export const LEARNING_MS = 15_000;
/** Loads that are compared when none is named. */
export const DEFAULT_LOADS: readonly number[] = [0.4, 0.6, 0.7, 0.8];

const kinds: readonly RequestKind[] = [
	{
		name: 'read', share: 0.72, targetLatencyMs: 600, deadlineMs: 4000, warmMs: 290, coldMs: 880,
	},
	{
		name: 'write', share: 0.28, targetLatencyMs: 800, deadlineMs: 6000, warmMs: 350, coldMs: 1160,
	},
];

const regions: readonly ModelRegion[] = [
	{
		name: 'large', servers: 6, instances: 3, requestsPerSecond: 30, objects: 32,
	},
	{
		name: 'middle', servers: 6, instances: 3, requestsPerSecond: 30, objects: 32,
	},
	{
		name: 'small', servers: 4, instances: 3, requestsPerSecond: 30, objects: 32,
	},
];

/** The deployment at a load, which is the work of all requests with their objects in memory over the slots. */
export function createHouseWorld(load: number): World {
	const options = {
		regions, kinds, slots: 3, queue: 9, remembered: 24, nearMs: 5, farMs: 20,
	};
	const factor = load / warmLoad(new World(options));
	return new World({...options, regions: regions.map(region => ({...region, requestsPerSecond: region.requestsPerSecond * factor}))});
}
