/** Decisions about the quotas of organisations and about uploads over all instances: who owns a shard, how much it grants, whom to ask and for how much. */
export * from './quota-buckets.js';
export * from './owner-choice.js';
export * from './permit-demand.js';
export * from './permit-stock.js';
export * from './reservation-table.js';
export * from './shard-claims.js';
export * from './shard-ownership.js';
export * from './shard-record.js';
export * from './shard-table.js';
export * from './share-history.js';
export * from './upload-reservations.js';
