/** Finds the site of a caller and lists the entry instances for it. */
export * from './block-table.js';
export * from './directory-instances.js';
export * from './entry-order.js';
export * from './topology.js';
export * from './instance-shares.js';
export * from './shared-addresses.js';
