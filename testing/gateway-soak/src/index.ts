/** Randomized soak tests of gateway processes under externally injected faults. */
export * from './attempt-check.js';
export * from './crash-cases.js';
export * from './crash-check.js';
export * from './crash-round.js';
export * from './draw.js';
export * from './call-check.js';
export * from './notice-check.js';
export * from './rate-limit-check.js';
export * from './rate-limit-round.js';
export * from './retry-faults.js';
export * from './retry-check.js';
export * from './retry-round.js';
export * from './soak.js';
export {faultNames} from './environment.js';
export type {SoakEnvironment} from './environment.js';
export type {FaultName} from './environment.js';
