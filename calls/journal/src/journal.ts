/** The shards of the journal that this instance serves: one actor for each shard, started by the first message to it. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	dispatch, spawn, start, stop,
} from 'nact';
import type {ActorSystemRef, Ref} from 'nact';
import type {ConnectRouter} from '@connectrpc/connect';
import {JournalService} from '@pomelopick/peer.protocol';
import type {
	BeginRequest, BeginResponse, ReadOutcomeRequest, ReadOutcomeResponse, FinishRequest, FinishResponse,
} from '@pomelopick/peer.protocol';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {Shard} from './shard.js';
import type {ShardMessage} from './shard-messages.js';

/** Number of shards of the journal. It may only be changed while the journal is empty. */
export const SHARD_COUNT = 4;
/** Time for which a key's record is kept, in milliseconds. */
export const KEY_LIFETIME_MS = 600_000;

const MAX_WRITES_PER_SECOND = 150;
const MILLISECONDS_PER_SECOND = 1000;
/** Time since its last message for which a shard counts as active, in milliseconds. */
const ACTIVITY_WINDOW_MS = 1000;

/** Options of {@link Journal}. */
export interface JournalOptions {
	readonly store: KeyValueStore;
	readonly onEvent: (name: string) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly wallClock: () => number;
	/** Number of instances that may serve shards, including this one. */
	readonly countInstances: () => number;
	/** Whether this instance comes first in the shard's order of owners, according to the instances that it knows. Always true by default. */
	readonly isFirstOwner?: (shard: number) => boolean;
	readonly shards?: number;
	readonly keyLifetimeMs?: number;
	/** Maximum writes per second of all instances together. */
	readonly writesPerSecond?: number;
}

interface ShardActor {
	readonly reference: Ref<ShardMessage>;
	lastMessageAtMs: number;
}

/** Decides whether copies of keyed calls may run, for all instances that request it. Every method resolves; none rejects. */
export class Journal {
	readonly #options: JournalOptions;
	readonly #system: ActorSystemRef;
	readonly #actors = new Map<number, ShardActor>();
	#isStopped = false;

	constructor(options: JournalOptions) {
		this.#options = options;
		this.#system = start();
	}

	/** Registers the RPC handlers for other instances. */
	register(router: ConnectRouter): void {
		router.service(JournalService, {
			beginMany: async ({requests}, {signal}) => ({responses: await Promise.all(requests.map(async request => this.begin({request, signal})))}),
			finishMany: async ({requests}) => ({responses: await Promise.all(requests.map(async request => this.finish(request)))}),
			readOutcome: async request => this.readOutcome(request),
		});
	}

	/** Decides whether a copy of a call may run. */
	async begin({request, signal}: {readonly request: BeginRequest; readonly signal?: AbortSignal}): Promise<BeginResponse> {
		return new Promise(resolve => {
			this.#send({
				shard: request.key!.shard, message: {
					kind: 'begin', request, reply: resolve, signal,
				},
			});
		});
	}

	/** Records the end of a call. */
	async finish(request: FinishRequest): Promise<FinishResponse> {
		return new Promise(resolve => {
			this.#send({shard: request.key!.shard, message: {kind: 'finish', request, reply: resolve}});
		});
	}

	/** Reads the state of a key. */
	async readOutcome(request: ReadOutcomeRequest): Promise<ReadOutcomeResponse> {
		return new Promise(resolve => {
			this.#send({shard: request.key!.shard, message: {kind: 'read-outcome', request, reply: resolve}});
		});
	}

	/** Stops all actors. */
	stop(): void {
		this.#isStopped = true;
		stop(this.#system);
	}

	#send({shard, message}: {readonly shard: number; readonly message: ShardMessage}): void {
		if (this.#isStopped) {
			// The requesting instance times out.
			return;
		}

		const actor = this.#actors.get(shard) ?? this.#spawn(shard);
		actor.lastMessageAtMs = this.#options.now();
		dispatch(actor.reference, message);
	}

	#spawn(shardNumber: number): ShardActor {
		const {store, onEvent, now, wallClock, keyLifetimeMs = KEY_LIFETIME_MS} = this.#options;
		const shard = new Shard({
			store,
			shard: shardNumber,
			keyLifetimeMs,
			now,
			wallClock,
			writeIntervalMs: () => this.#writeIntervalMs(),
			isFirstOwner: () => this.#options.isFirstOwner?.(shardNumber) ?? true,
			async sleep(durationMs) {
				await sleep(durationMs);
			},
			schedule(proceed) {
				dispatch(reference, {kind: 'step', proceed});
			},
			onEvent,
		});
		const reference: Ref<ShardMessage> = spawn(this.#system, (state: Shard, message: ShardMessage) => {
			state.receive(message);
			return state;
		}, `shard-${shardNumber}`, {initialState: shard});
		const actor = {reference, lastMessageAtMs: now()};
		this.#actors.set(shardNumber, actor);
		return actor;
	}

	/** Divides the maximum write rate of all instances by the number of shards that are probably active. */
	#writeIntervalMs(): number {
		const {now, countInstances, shards = SHARD_COUNT, writesPerSecond = MAX_WRITES_PER_SECOND} = this.#options;
		const activeShardsHere = [...this.#actors.values()].filter(({lastMessageAtMs}) => now() - lastMessageAtMs < ACTIVITY_WINDOW_MS).length;
		const activeShards = Math.max(1, Math.min(shards, activeShardsHere * Math.max(1, countInstances())));
		return activeShards * MILLISECONDS_PER_SECOND / writesPerSecond;
	}
}
