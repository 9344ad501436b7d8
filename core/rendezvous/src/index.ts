/** Rendezvous hashing: all instances with the same list of members choose the same owners, without communication. */
export * from './rendezvous.js';
export * from './mixed-weight.js';
