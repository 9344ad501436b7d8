/** Chooses a backend server for a call. */
export * from './draining.js';
export * from './outliers.js';
export * from './power-of-two.js';
export * from './server-limit.js';
export * from './slot-book.js';
export type * from './slot-book-types.js';
