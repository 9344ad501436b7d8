/** Compares placements on simulated backend servers that remember objects. */
export * from './baselines.js';
export * from './clock.js';
export * from './draw.js';
export * from './figures.js';
export * from './house-world.js';
export * from './model-server.js';
export * from './object-policy.js';
export * from './play.js';
export * from './policy.js';
export type * from './request-kind.js';
export * from './speed-phases.js';
export * from './uneven-world.js';
export * from './world.js';
