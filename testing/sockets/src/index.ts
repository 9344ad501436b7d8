/** Ends connections of tests in exact ways. */
export * from './end-output.js';
