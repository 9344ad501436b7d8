/** What all HTTP clients share: sockets that report resets, checks of status lines, and calls with a deadline. */
export * from './clients.js';
export * from './connection-reset-error.js';
export * from './connector.js';
export * from './response-version.js';
export * from './send-call.js';
export * from './status-line.js';
