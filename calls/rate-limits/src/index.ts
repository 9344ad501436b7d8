/** Rate limits that backend servers name, and their warm-ups: shared between the instances, and kept by permits of one owner for each server. */
export * from './permit-client.js';
export * from './permit-listener.js';
export * from './permit-messages.js';
export * from './rate-limit-records.js';
export * from './rate-limit-sharing.js';
export * from './rate-limit-use.js';
export * from './rate-limit-writer.js';
export * from './rate-permits.js';
export * from './server-warmup-records.js';
export * from './warmup-sharing.js';
