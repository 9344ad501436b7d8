/** Measures ways of running keyed calls at most once. */
export * from './intent-per-call.js';
export * from './measure.js';
export * from './private-store.js';
