/** Text tables for a person. */
export * from './table.js';
