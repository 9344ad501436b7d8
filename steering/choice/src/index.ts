/** Chooses a backend server for a call. */
export * from './draining.js';
export * from './power-of-two.js';
