/** Measurements of the system on one machine. */
export * from './entry.js';
export * from './load-process.js';
export * from './lookup.js';
export * from './statistics.js';
