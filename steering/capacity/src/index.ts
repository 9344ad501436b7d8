/** Proven capacity and headroom of regions. */
export * from './headroom.js';
export * from './region-order.js';
