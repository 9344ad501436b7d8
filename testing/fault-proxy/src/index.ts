/** TCP proxy that injects faults between two processes. */
export * from './fault-proxy.js';
