/** Shared types: branded ids, the objects of a configuration, refusals and reason codes, and the reports for operators. */
export type * from './brand.js';
export type * from './coded-error.js';
export * from './describe-value.js';
export * from './endpoint.js';
export * from './foreign-fields.js';
export * from './foreign-json.js';
export type * from './ids.js';
export type * from './instance.js';
export type * from './objects.js';
export type * from './organisations.js';
export type * from './operator-reports.js';
export * from './reasons.js';
export * from './refusal.js';
export type * from './registered-server.js';
export * from './request-target.js';
export type * from './routes.js';
