/** Relays a request from its arrival to its final response. */
export * from './authenticate.js';
export {failureOfAnswerClass} from './attempt-result.js';
export * from './classify-answer.js';
export * from './connection-check.js';
export * from './contact-monitor.js';
export * from './forwarded-request.js';
export * from './peer-choice.js';
export type {RelayServer} from './relay-server.js';
export type * from './relay-format.js';
export * from './relay-handler.js';
export * from './relay-run.js';
export * from './relayed-request.js';
export * from './request-admission.js';
export * from './retry-budgets.js';
export * from './retry-permit.js';
export * from './server-notices.js';
export * from './unsent-attempts.js';
export * from './server-uploads.js';
