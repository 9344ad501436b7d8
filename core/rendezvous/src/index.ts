/** Rendezvous hashing: every instance that knows the same members chooses the same owners, without a message. */
export * from './rendezvous.js';
export * from './mixed-weight.js';
