/** State of the registered backend servers: which ones are usable, how loaded and how healthy they are. */
export * from './connection-check-rule.js';
export * from './ended-starts.js';
export * from './mass-expiry.js';
export * from './leaving-servers.js';
export * from './named-rate-limits.js';
export * from './requested-pauses.js';
export * from './server-contacts.js';
export * from './server-observations.js';
export * from './server-table.js';
export * from './work-factor.js';
export type {ServerStart} from './server-start-map.js';
