/**
 * Journal of keyed calls, so that each is run at most once, whichever instances receive its copies. Before a copy may run,
 * its intent is written to the store; afterwards its outcome is.
 */
export * from './journal.js';
export * from './journal-key.js';
export * from './journal-key-guard.js';
export * from './kept-outcome.js';
export * from './owner-calls.js';
export * from './owner-order.js';
export * from './shard.js';
export type * from './shard-messages.js';
