/** Transport between entry instances: connect-es over HTTP/2. */
export * from './peer-clients.js';
export * from './peer-server.js';
