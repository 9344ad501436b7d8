/** Example sets and settings of the deployments at their present sizes, and a generated set of the planned size. */
export * from './deployment.js';
export * from './example-set.js';
export * from './example-settings.js';
export * from './files.js';
export * from './planned-set.js';
