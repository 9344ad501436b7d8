/** Concurrent workloads under faults and the checker of their histories. */
export * from './check-history.js';
export * from './faults.js';
export * from './group-by.js';
export * from './proxied-fleet.js';
export * from './read-outcome.js';
export type * from './records.js';
export * from './run.js';
export * from './send-copy.js';
export * from './workload.js';
