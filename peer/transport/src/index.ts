/** Carries messages between entry instances by connect-es over HTTP/2. */
export * from './peer-clients.js';
export * from './peer-server.js';
