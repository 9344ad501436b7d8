/** Bounded waiting lines, fair between callers. */
export * from './fair-queue.js';
