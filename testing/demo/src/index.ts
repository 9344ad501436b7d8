/** Runs both deployments' shape on loopback, with faults, and judges the outcome. */
export * from './demo.js';
export * from './traffic.js';
