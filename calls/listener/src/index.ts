/** HTTP listener for callers. */
export * from './caller-listener.js';
