/** Chooses from which instance another one receives the changes of the store. */
export * from './upstream-choice.js';
