/** Publishes and reads configuration versions in the key-value service. */
export * from './publish.js';
export * from './read.js';
export * from './stored-configuration.js';
