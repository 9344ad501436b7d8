/** Combines what instances report of the load of backend servers. */
export * from './choose-collectors.js';
export * from './load-collector.js';
export * from './observed-loads.js';
export * from './service-demand.js';
