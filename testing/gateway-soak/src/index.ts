/** Randomized soak of gateway processes under faults from outside them. */
export * from './crash-cases.js';
export * from './crash-judge.js';
export * from './crash-round.js';
export * from './draw.js';
export * from './judge.js';
export * from './notice-judge.js';
export * from './retry-faults.js';
export * from './retry-judge.js';
export * from './retry-round.js';
export * from './soak.js';
export {faultNames} from './world.js';
export type {FaultName} from './world.js';
