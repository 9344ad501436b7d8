/** Binds servers to their addresses, and waits while an address is in use. */
export * from './listener-binder.js';
