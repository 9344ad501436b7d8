/** Decides which requests are refused while the capacity of a service is short. */
export * from './admission-table.js';
export * from './deadline-check.js';
export * from './decaying-tally.js';
export * from './fair-division.js';
export * from './fair-shares.js';
export * from './fleet-demand.js';
export * from './fleet-surplus.js';
export * from './max-min-level.js';
export * from './organisation-load.js';
export * from './part-selector.js';
export * from './probe-schedule.js';
export * from './retry-after.js';
export * from './service-admission.js';
export * from './service-pressure.js';
export * from './urgency-classes.js';
