/** Bounded queues that are fair between callers. */
export * from './burst-patience.js';
export * from './fair-queue.js';
