/** Chooses a backend server for a call. */
export * from './draining.js';
export * from './outliers.js';
export * from './power-of-two.js';
export * from './concurrency-limit.js';
export * from './slot-tracker.js';
export type * from './slot-tracker-types.js';
