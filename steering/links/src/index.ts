/** Bandwidth limits of the links between regions. */
export * from './link-budget.js';
export * from './link-share.js';
