/** Exchanges what instances know of the load of backend servers. */
export * from './demand-messages.js';
export * from './load-listener.js';
export * from './load-messages.js';
export * from './load-sharing.js';
