/** Logs, counters and the bounded record of events of one process. */
export * from './counters.js';
export * from './event-record.js';
export * from './log.js';
