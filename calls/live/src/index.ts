/** What this instance believes of routes, servers, evacuations and instances, kept up from the store. */
export * from './allowance-parts.js';
export type * from './belief-change.js';
export * from './change-history.js';
export * from './change-listener.js';
export * from './change-relay.js';
export * from './instance-record.js';
export * from './instance-table.js';
export * from './live-view.js';
export type * from './platform-format.js';
export type * from './record-reader.js';
export * from './registration.js';
export * from './relayed-changes.js';
export * from './store-feed.js';
export * from './suspicion-records.js';
export * from './suspicion-writer.js';
export * from './upstream-client.js';
export * from './upstream-link.js';
