/** Stand-in for a backend server. */
export * from './backend-stand-in.js';
export type * from './behaviour.js';
