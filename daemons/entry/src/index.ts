/** The entry daemon. */
export * from './entry.js';
export * from './fleet-view.js';
export * from './operators/drain-times.js';
