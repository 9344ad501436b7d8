/** What chooses a backend server for a request at one instance. */
import type {BackendServerName, ServerLoad} from '@pomelopick/core.types';
import type {RequestKind} from './request-kind.js';
import type {World} from './world.js';

/** A request at an instance. */
export interface ModelRequest {
	readonly kind: RequestKind;
	readonly object: string;
	/** Simulated time by which an answer is of use, in milliseconds. */
	readonly answerByMs: number;
	/** Servers that shed the request. */
	readonly avoid: ReadonlySet<BackendServerName>;
}

/** A choice, to be handed back when the request ends. */
export interface ModelPlacement {
	readonly server: BackendServerName;
	/** Tells how the request ended: what the answer said of the server's load, or that the server had no room. */
	readonly onEnd: (options: {readonly end: 'answered' | 'shed'; readonly load: ServerLoad; readonly nowMs: number}) => void;
}

/** A refusal of an instance. */
export interface ModelRefusal {
	readonly retryAfterMs: number;
}

/** Chooses servers for one instance. */
export interface PlacementPolicy {
	/** Chooses a server, or refuses. */
	place(options: {readonly request: ModelRequest; readonly nowMs: number}): ModelPlacement | ModelRefusal;
	/** Applies that the servers of a region are gone or have started again; absent: the policy does not learn of it. */
	changeRegion?(options: {readonly region: string; readonly isUp: boolean; readonly nowMs: number}): void;
}

/** Creates the policy of an instance that stands in a region; the seed is its own. */
export type CreatePolicy = (options: {readonly world: World; readonly region: string; readonly seed: number}) => PlacementPolicy;

/** Whether a choice is a server. */
export function isPlaced(choice: ModelPlacement | ModelRefusal): choice is ModelPlacement {
	return 'server' in choice;
}
