/** Publishes and reads configuration versions in the key-value service. */
export * from './chunks.js';
export * from './collect.js';
export * from './difference.js';
export * from './encoded-list.js';
export * from './history.js';
export * from './publish.js';
export * from './read.js';
export * from './stored-configuration.js';
export * from './set-assembler.js';
