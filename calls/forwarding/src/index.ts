/** Carries one call from arrival to its final answer. */
export * from './attempt.js';
export * from './call-handler.js';
export * from './call-headers.js';
export * from './key-claim.js';
export * from './keyed-call.js';
export type * from './key-guard.js';
export * from './local-placement.js';
export type * from './placement.js';
