/** Messages to the actor that serves one shard. */
import type {
	BeginRequest, BeginResponse, ReadOutcomeRequest, ReadOutcomeResponse, FinishRequest, FinishResponse,
} from '@pomelopick/peer.protocol';

/** Request to run a copy of a call. */
export interface BeginMessage {
	readonly kind: 'begin';
	readonly request: BeginRequest;
	readonly reply: (response: BeginResponse) => void;
	/** Aborted when the requesting instance no longer waits. */
	readonly signal?: AbortSignal;
}

/** Record of how a call ended. */
export interface FinishMessage {
	readonly kind: 'finish';
	readonly request: FinishRequest;
	readonly reply: (response: FinishResponse) => void;
}

/** Request for the state of a key. */
export interface ReadOutcomeMessage {
	readonly kind: 'read-outcome';
	readonly request: ReadOutcomeRequest;
	readonly reply: (response: ReadOutcomeResponse) => void;
}

/** Continuation of work that waited for the store or for a timer. */
export interface ContinueMessage {
	readonly kind: 'step';
	/** Continues the work. */
	readonly proceed: () => void;
}

/** A message to the actor of a shard. */
export type ShardMessage = BeginMessage | FinishMessage | ReadOutcomeMessage | ContinueMessage;

/** A message that may have to wait for a round. */
export type WaitingMessage = BeginMessage | FinishMessage | ReadOutcomeMessage;
