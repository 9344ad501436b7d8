/** HTTP listener for callers. */
export * from './caller-listener.js';
export * from './header-count.js';
export type {ListenerLimits} from './input-refusals.js';
