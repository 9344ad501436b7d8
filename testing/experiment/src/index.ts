/** Open-loop load on a whole fleet, with latency, goodput and overload measured. */
export * from './central-queue.js';
export * from './cold-shift.js';
export * from './report.js';
export * from './run.js';
export type * from './scenario.js';
export * from './scenarios.js';
export * from './workload.js';
