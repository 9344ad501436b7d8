/** Bytes per second that links between regions may carry. */
export * from './link-budget.js';
export * from './link-share.js';
