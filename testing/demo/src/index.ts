/** Runs both deployments' shape, and gateways on the users' platform, on loopback with faults, and judges the outcome. */
export * from './demo.js';
export * from './gateway-demo.js';
export * from './percentiles.js';
export * from './traffic.js';
