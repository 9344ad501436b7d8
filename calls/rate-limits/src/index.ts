/** Rate limits that backend servers name: shared between the instances, and kept by permits of one owner for each server. */
export * from './permit-client.js';
export * from './permit-listener.js';
export * from './permit-messages.js';
export * from './rate-limit-records.js';
export * from './rate-limit-sharing.js';
export * from './rate-limit-use.js';
export * from './rate-limit-writer.js';
export * from './rate-permits.js';
