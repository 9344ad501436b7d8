/** Starts a whole fleet of real processes on loopback for tests, demo and benches. */
export * from './child.js';
export * from './deployment.js';
export * from './fleet.js';
export * from './regional-fleet.js';
export * from './json-requests.js';
export * from './control-fleet.js';
export * from './version-history.js';
export * from './control-network.js';
export * from './version-sampler.js';
export * from './configuration-outage.js';
