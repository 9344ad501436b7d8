/** Handles one call from its arrival to its final response. */
export type * from './admission.js';
export {resetCallerConnection} from './response-forwarder.js';
export type * from './attempt-response.js';
export * from './call-handler.js';
export * from './call-headers.js';
export * from './caller-disconnects.js';
export * from './cancellation.js';
export * from './exchange.js';
export * from './buffer-budget.js';
export * from './keyed-refusal.js';
export type * from './key-guard.js';
export * from './latency-tracker.js';
export * from './local-placement.js';
export type * from './placement.js';
export * from './send-refusal.js';
export * from './request-body.js';
export * from './retry-budget.js';
export * from './send-whole.js';
