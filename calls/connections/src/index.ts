/** Connections to backend servers. */
export * from './backend-connections.js';
export type * from './connection.js';
export type {HealthState, ProbeResponseHead} from './probe.js';
