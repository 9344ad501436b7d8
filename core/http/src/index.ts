/** What all HTTP clients share: sockets that report a reset as an error and never as the end of a response. */
export * from './clients.js';
export * from './connection-reset-error.js';
export * from './connector.js';
