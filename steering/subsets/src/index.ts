/** Chooses the backend servers that each instance keeps connections to, by deterministic subsetting. */
export * from './subset.js';
