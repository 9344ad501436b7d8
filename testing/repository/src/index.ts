/** Reads the repository's own sources and pages, for the checks that hold them together. */
export * from './cycles.js';
export * from './imports.js';
export * from './pages.js';
