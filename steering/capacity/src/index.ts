/** Capacity and headroom of regions, and the regions that a call may go to. */
export * from './headroom.js';
export * from './region-order.js';
