/** Logs, counters and the bounded event record of one process. */
export * from './counters.js';
export * from './decision-log.js';
export * from './event-loop-monitor.js';
export * from './event-record.js';
export * from './fatal-errors.js';
export * from './log-rate-limiter.js';
export * from './log.js';
export * from './output-writer.js';
export * from './refusal-log.js';
export * from './served-counters.js';
