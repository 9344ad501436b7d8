/** Fleet membership: which instances are alive, leaving or full. */
export {
	chooseOwner, chooseOwners,
} from '@pomelopick/core.rendezvous';
export type * from './member.js';
export * from './membership.js';
export type * from './membership-options.js';
export * from './reach.js';
export * from './member-state.js';
export * from './observer.js';
export * from './overlay.js';
export * from './stall-detector.js';
