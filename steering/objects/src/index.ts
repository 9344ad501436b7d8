/** Chooses the backend server for a request by the object that the request concerns. */
export type * from './object-placer-types.js';
export * from './object-placer.js';
export * from './object-ranking.js';
export * from './object-popularity.js';
export * from './placement-refusal.js';
export * from './recent-objects.js';
export * from './recent-outcomes.js';
export * from './region-groups.js';
export * from './region-plan.js';
export * from './region-prices.js';
export * from './region-spill.js';
export * from './region-spread.js';
export * from './service-spread.js';
export * from './work-expectation.js';
