/** Limits that hold over the whole fleet without a coordinator: retries, warm-up, moves between regions. */
export * from './pause-detector.js';
export * from './retry-allowance.js';
export * from './retry-window.js';
export * from './warmup-shares.js';
