/** Assigns calls to backend servers by slots that their owners grant. */
export * from './create-placement.js';
export * from './leaving-server-poller.js';
export * from './local-fallback.js';
export * from './owner-group.js';
export * from './owner-rank.js';
export * from './shift-grants.js';
export * from './slot-client.js';
export * from './slot-owner.js';
export type * from './slot-types.js';
export * from './steered-placement.js';
export * from './subset-placement.js';
