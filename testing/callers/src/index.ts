/** Callers that use the system and check every response. */
export * from './caller.js';
export * from './direct-call.js';
export * from './judge.js';
