/** Keeps an instance on the newest configuration version. */
export * from './configuration-holder.js';
export * from './distribution.js';
