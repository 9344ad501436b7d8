/** What is known of registered backend servers: who may be used, how loaded, how healthy. */
export * from './mass-expiry.js';
export * from './leaving-servers.js';
export * from './requested-pauses.js';
export * from './server-observations.js';
export * from './server-table.js';
export type {ServerStart} from './server-start-map.js';
