/** Detects requests that crash backend servers and quarantines them, so that they do not run again. */
export type {CrashEvidence, ServerCrash} from './crash-records.js';
export * from './crash-detector.js';
export * from './fingerprint.js';
export {MAX_CRASHES_BEFORE_QUARANTINE} from './classify-suspect.js';
export type {Classification, Certainty} from './classify-suspect.js';
export * from './peer-sharing.js';
export * from './quarantine.js';
export * from './run-span.js';
export type {InFlightCall, ServerRun} from './server-runs.js';
export * from './suspect-table.js';
