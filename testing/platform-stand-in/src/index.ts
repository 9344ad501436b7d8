/** Stand-in for the platform's key-value service and instance list. */
export type * from './faults.js';
export * from './platform-stand-in.js';
