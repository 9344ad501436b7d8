/** Enforces the caps of traffic shifts for the whole fleet. */
export * from './grant-observer.js';
export * from './ledger-text.js';
export * from './shift-budget.js';
export * from './shift-guard.js';
export * from './shift-ledger.js';
