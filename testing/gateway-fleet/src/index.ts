/** Gateway processes, with a stand-in for the store and stand-ins for registered backend servers. */
export * from './caller.js';
export * from './configuration.js';
export * from './directory-caller.js';
export * from './gateway-fleet.js';
export * from './gateway-process.js';
export * from './listen-on-loopback.js';
export * from './malformed-fields.js';
export * from './partition.js';
export * from './pipelining-caller.js';
export * from './play-answer.js';
export * from './quota-callers.js';
export * from './raw-server.js';
export * from './registered-server.js';
export * from './serve-request.js';
export * from './server-process.js';
export * from './unreachable-server.js';
