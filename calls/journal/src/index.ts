/** Journal of keyed calls: records their intents and outcomes, so that each is run at most once, whichever instance receives it. */
export * from './journal.js';
export * from './journal-key.js';
export * from './journal-key-guard.js';
export * from './kept-outcome.js';
export * from './owner-calls.js';
export * from './owner-order.js';
export * from './shard.js';
export type * from './shard-messages.js';
