/** Finds requests that crash backend servers and keeps them from running again. */
export type {ServerCrash} from './crash-records.js';
export * from './crash-detector.js';
export * from './fingerprint.js';
export {MOST_DEATHS_BEFORE_CONVICTION} from './classify-suspect.js';
export type {Finding, Certainty} from './classify-suspect.js';
export * from './peer-sharing.js';
export * from './quarantine.js';
export * from './suspect-table.js';
