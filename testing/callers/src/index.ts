/** Callers that use the system and check every answer they get. */
export * from './caller.js';
export * from './direct-call.js';
export * from './judge.js';
