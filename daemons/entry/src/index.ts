/** The entry daemon. */
export * from './entry.js';
