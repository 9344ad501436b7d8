/** Finds requests that crash backend servers and keeps them from running again. */
export * from './death-watch.js';
export * from './fingerprint.js';
export * from './peer-sharing.js';
export * from './quarantine.js';
export * from './suspect-table.js';
