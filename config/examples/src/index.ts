/** Example sets and settings at the sizes of today and at the planned size. */
export * from './deployment.js';
export * from './example-set.js';
export * from './example-settings.js';
export * from './files.js';
export * from './planned-set.js';
