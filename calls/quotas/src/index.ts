/** Keeps the quotas of organisations for all instances together: owners of shards grant permits, all other instances ask for them. */
export * from './owner-asks.js';
export * from './quota-client.js';
export * from './quota-grants.js';
export * from './quota-listener.js';
export * from './quota-messages.js';
export * from './quota-permits.js';
export * from './quota-use.js';
export * from './shard-claimer.js';
export * from './shard-records.js';
