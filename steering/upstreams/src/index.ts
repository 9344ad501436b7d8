/** Which instance passes the store's changes on to which. */
export * from './upstream-choice.js';
