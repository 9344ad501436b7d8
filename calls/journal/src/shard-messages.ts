/** Messages of the actor that keeps one shard. */
import type {
	BeginRequest, BeginResponse, ReadOutcomeRequest, ReadOutcomeResponse, FinishRequest, FinishResponse,
} from '@pomelopick/peer.protocol';

/** A copy of a call that asks to be run. */
export interface BeginMessage {
	readonly kind: 'begin';
	readonly request: BeginRequest;
	readonly reply: (response: BeginResponse) => void;
	/** Aborted when the asking instance no longer waits. */
	readonly signal?: AbortSignal;
}

/** The end of a call. */
export interface FinishMessage {
	readonly kind: 'finish';
	readonly request: FinishRequest;
	readonly reply: (response: FinishResponse) => void;
}

/** A question for what is known of a key. */
export interface ReadOutcomeMessage {
	readonly kind: 'read-outcome';
	readonly request: ReadOutcomeRequest;
	readonly reply: (response: ReadOutcomeResponse) => void;
}

/** The store has answered: what the actor was waiting for may go on. */
export interface StepMessage {
	readonly kind: 'step';
	/** Continues the work with the store's answer. */
	readonly proceed: () => void;
}

/** A message to the actor of a shard. */
export type ShardMessage = BeginMessage | FinishMessage | ReadOutcomeMessage | StepMessage;

/** A message that may have to wait for the store. */
export type WaitingMessage = BeginMessage | FinishMessage | ReadOutcomeMessage;
