/** Limits that hold for the whole fleet without a coordinator: retries and requests to servers that are warming up. */
export * from './pause-detector.js';
export * from './retry-allowance.js';
export * from './retry-window.js';
export * from './fleet-rate-limits.js';
export * from './owner-candidates.js';
export * from './byte-shares.js';
export * from './overload.js';
