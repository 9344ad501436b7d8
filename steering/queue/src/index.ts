/** Bounded waiting lines, fair between callers. */
export * from './burst-patience.js';
export * from './fair-queue.js';
