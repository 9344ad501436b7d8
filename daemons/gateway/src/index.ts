/** The gateway daemon: the entry instance on the users' platform. */
export * from './gateway.js';
