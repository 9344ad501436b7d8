/** Human-readable text tables. */
export * from './table.js';
