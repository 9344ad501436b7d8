/** Finds requests that crash backend servers and keeps them from running again. */
export type {ServerCrash} from './death-evidence.js';
export * from './death-watch.js';
export * from './fingerprint.js';
export {MOST_DEATHS_BEFORE_CONVICTION} from './judge-suspect.js';
export type {Finding, Certainty} from './judge-suspect.js';
export * from './peer-sharing.js';
export * from './quarantine.js';
export * from './suspect-table.js';
