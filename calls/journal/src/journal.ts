/** The shards of the journal that this instance keeps: one actor a shard, started when it is first asked. */
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

/** Shards of the journal. A change of this number needs an empty journal. */
export const SHARDS = 4;
/** Time for which a key's record is kept, in milliseconds. */
export const KEY_LIFETIME_MS = 600_000;

const WRITES_PER_SECOND = 150;
const MILLISECONDS_PER_SECOND = 1000;
const ACTIVE_FOR_MS = 1000;

/** Options of {@link Journal}. */
export interface JournalOptions {
	readonly store: KeyValueStore;
	readonly onEvent: (name: string) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly wallClock: () => number;
	/** Instances that may keep shards, this one included. */
	readonly countInstances: () => number;
	/** Whether this instance is a shard's best owner as far as it knows; by default it is. */
	readonly isFirstOwner?: (shard: number) => boolean;
	readonly shards?: number;
	readonly keyLifetimeMs?: number;
	/** Writes a second of all instances together. */
	readonly writesPerSecond?: number;
}

interface ShardActor {
	readonly reference: Ref<ShardMessage>;
	activeAtMs: number;
}

/** Judges keyed calls for all instances that ask. Every method resolves; none rejects. */
export class Journal {
	readonly #options: JournalOptions;
	readonly #system: ActorSystemRef;
	readonly #actors = new Map<number, ShardActor>();
	#isStopped = false;

	constructor(options: JournalOptions) {
		this.#options = options;
		this.#system = start();
	}

	/** Registers the answers to other instances. */
	register(router: ConnectRouter): void {
		router.service(JournalService, {
			beginMany: async ({requests}, {signal}) => ({responses: await Promise.all(requests.map(async request => this.begin({request, signal})))}),
			finishMany: async ({requests}) => ({responses: await Promise.all(requests.map(async request => this.finish(request)))}),
			readOutcome: async request => this.readOutcome(request),
		});
	}

	/** Judges a copy of a call. */
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

	/** Reads what is known of a key. */
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
			// The asking side's own timeout answers for it.
			return;
		}

		const actor = this.#actors.get(shard) ?? this.#spawn(shard);
		actor.activeAtMs = this.#options.now();
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
		const actor = {reference, activeAtMs: now()};
		this.#actors.set(shardNumber, actor);
		return actor;
	}

	/** Splits the fleet's writes over the shards that are likely to be active now. */
	#writeIntervalMs(): number {
		const {now, countInstances, shards = SHARDS, writesPerSecond = WRITES_PER_SECOND} = this.#options;
		const activeHere = [...this.#actors.values()].filter(({activeAtMs}) => now() - activeAtMs < ACTIVE_FOR_MS).length;
		const active = Math.max(1, Math.min(shards, activeHere * Math.max(1, countInstances())));
		return active * MILLISECONDS_PER_SECOND / writesPerSecond;
	}
}
