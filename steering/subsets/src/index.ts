/** Deterministic subsets of backend servers for connections. */
export * from './subset.js';
