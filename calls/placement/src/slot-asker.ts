/** Asks owners for slots, names the held ones to them, and turns to the next ranked owner when one goes silent. */
import type {Cancellation} from '@pomelopick/calls.forwarding';
import type {
	BackendServerName, ConfigurationSet, Instance, InstanceId,
} from '@pomelopick/core.types';
import {SlotsService} from '@pomelopick/peer.protocol';
import type {PeerClients} from '@pomelopick/peer.transport';
import type {SlotEnd} from '@pomelopick/steering.choice';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {RefusalReason} from '@pomelopick/core.types';
import type {GroupState, SlotAnswer, SlotRequest} from './slot-types.js';
import {OwnerRanks} from './owner-rank.js';
import {OwnerSuspicions, SUSPECT_MS} from './owner-suspicions.js';
import type {SlotGroupKey, SlotOwner} from './slot-owner.js';

const RENEW_INTERVAL_MS = 400;
/** Silence after which an owner is no longer asked; shorter ones come with a busy processor. */
const RENEW_TIMEOUT_MS = 1500;
/** Added to a call's time left before the owner's answer counts as lost, in milliseconds; renewals notice a silent owner long before. */
const ANSWER_MARGIN_MS = 100;
/** Time after its last use for which a group's owner is still told of nothing held, in milliseconds. */
const IDLE_AFTER_MS = 5000;
/** Age from which a group's state is no longer believed, in milliseconds. */
const STATE_AGE_MS = 1200;
const MOST_OWNERS_ASKED = 2;

/** Options of {@link SlotAsker}. */
export interface SlotAskerOptions {
	readonly instance: InstanceId;
	readonly owner: SlotOwner;
	readonly peers: PeerClients;
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly liveInstances: () => readonly Instance[];
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly count: (counter: string) => void;
}

/** A slot that an owner handed out to this instance. */
export interface HeldSlot {
	readonly server: BackendServerName;
	readonly waitedMs: number;
	readonly owner: InstanceId;
	release(end: SlotEnd): void;
}

/** Answer of the owners: a slot, a refusal, or `unreachable` when no owner answered. */
export type AskAnswer = Either<{readonly reason: RefusalReason | 'unreachable'; readonly detail: string; readonly retryAfterMs: number}, HeldSlot>;

/** Options of {@link SlotAsker.acquire}. */
export interface AcquireOptions {
	readonly key: SlotGroupKey;
	readonly request: Omit<SlotRequest, 'slotId' | 'asker' | 'isSubstitute'>;
	readonly cancellation: Cancellation;
}

interface AskOptions {
	readonly key: SlotGroupKey;
	readonly owner: Instance;
	readonly request: SlotRequest;
	readonly cancellation: Cancellation;
}

interface GroupUse {
	readonly key: SlotGroupKey;
	readonly held: Map<string, {readonly server: BackendServerName; readonly expiresAtMs: number}>;
	readonly ended: Array<{readonly slotId: string; readonly end: SlotEnd}>;
	usedAtMs: number;
	isRenewing: boolean;
	state: GroupState | undefined;
	stateAtMs: number;
}

interface HoldOptions {
	readonly use: GroupUse;
	readonly slotId: string;
	readonly server: BackendServerName;
	readonly waitedMs: number;
	readonly owner: InstanceId;
	readonly expiresAtMs: number;
}

/** The asking side of slots. */
export class SlotAsker {
	readonly #options: SlotAskerOptions;
	readonly #groups = new Map<string, GroupUse>();
	readonly #ranks = new OwnerRanks();
	readonly #suspicions: OwnerSuspicions;
	#nextSlot = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: SlotAskerOptions) {
		this.#options = options;
		this.#suspicions = new OwnerSuspicions(options);
	}

	/** Starts naming held slots to their owners. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#renewAll();
		}, RENEW_INTERVAL_MS);
	}

	/** Stops. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** What the owner of a group said last; undefined when that is too old. */
	state(key: SlotGroupKey): GroupState | undefined {
		const use = this.#groups.get(`${key.service} ${key.region}`);
		return use && this.#options.now() - use.stateAtMs < STATE_AGE_MS ? use.state : undefined;
	}

	/** Starts asking a group's owner for its state; whether this is the first time. */
	isUnasked(key: SlotGroupKey): boolean {
		const isKnown = this.#groups.has(`${key.service} ${key.region}`);
		this.#use(key);
		return !isKnown;
	}

	/** The instance that this one would ask for a slot of a group now. */
	ownerOf(key: SlotGroupKey): InstanceId | undefined {
		return this.#rank(key).find(({id}) => !this.#suspicions.isSuspect(id))?.id;
	}

	/** Asks for a slot; tries the next ranked owner when one does not answer. */
	async acquire({key, request, cancellation}: AcquireOptions): Promise<AskAnswer> {
		const {now, count} = this.#options;
		const use = this.#use(key);
		const startedAtMs = now();
		for (let tried = 0; tried < MOST_OWNERS_ASKED; tried += 1) {
			const ranked = this.#rank(key);
			const owner = ranked.find(({id}) => !this.#suspicions.isSuspect(id));
			const timeLeftMs = request.timeLeftMs - (now() - startedAtMs);
			if (!owner || timeLeftMs <= 0) {
				break;
			}

			const slotId = this.#createSlotId();
			const askedAtMs = now();
			const slotRequest: SlotRequest = {
				...request, slotId, asker: this.#options.instance, timeLeftMs, isSubstitute: owner !== ranked[0],
			};
			const answer = await this.#ask({
				key, owner, request: slotRequest, cancellation,
			});
			if (answer) {
				return answer.map(({server, waitedMs}) => this.#hold({
					use, slotId, server, waitedMs, owner: owner.id, expiresAtMs: askedAtMs + timeLeftMs,
				}));
			}

			if (cancellation.isCancelled) {
				break;
			}

			if (!this.#suspicions.isSuspect(owner.id)) {
				count('placement.owner-silent');
				this.#suspicions.suspect(owner.id);
			}
		}

		return Left({reason: cancellation.isCancelled ? 'caller-cancelled' : 'unreachable', detail: 'no owner of the slots answered', retryAfterMs: SUSPECT_MS});
	}

	async #ask({key, owner, request, cancellation}: AskOptions): Promise<SlotAnswer | undefined> {
		if (owner.id === this.#options.instance) {
			return this.#options.owner.group(key)?.acquire({request, cancellation});
		}

		const answer = await this.#options.peers.call({
			endpoint: owner.peers,
			service: SlotsService,
			timeoutMs: request.timeLeftMs + ANSWER_MARGIN_MS,
			signal: AbortSignal.any([cancellation.signal, this.#suspicions.signalOf(owner.id)]),
			invoke: async (client, options) => client.acquire({
				...request,
				group: key,
				patienceMs: Math.max(0, Math.floor(request.patienceMs)),
				timeLeftMs: Math.floor(request.timeLeftMs),
				avoidServers: [...request.avoidServers],
				avoidDomains: [...request.avoidDomains],
			}, options),
		}).run();
		return answer.map<SlotAnswer | undefined>(({server, refusal, detail, retryAfterMs, waitedMs}) => refusal === ''
			? Right({server: server as BackendServerName, waitedMs})
			: Left({reason: refusal as RefusalReason, detail, retryAfterMs})).orDefault(undefined);
	}

	#hold({use, slotId, server, waitedMs, owner, expiresAtMs}: HoldOptions): HeldSlot {
		use.held.set(slotId, {server, expiresAtMs});
		return {
			server, waitedMs, owner, release: end => {
				if (use.held.delete(slotId)) {
					this.#release({use, slotId, end});
				}
			},
		};
	}

	/** Ends of one turn of the event loop travel together. */
	#release({use, slotId, end}: {readonly use: GroupUse; readonly slotId: string; readonly end: SlotEnd}): void {
		use.ended.push({slotId, end});
		if (use.ended.length === 1) {
			setImmediate(() => {
				this.#sendReleases(use);
			});
		}
	}

	#sendReleases(use: GroupUse): void {
		const slots = use.ended.splice(0);
		const owner = this.#rank(use.key).find(({id}) => !this.#suspicions.isSuspect(id));
		if (owner?.id === this.#options.instance) {
			const group = this.#options.owner.group(use.key);
			for (const {slotId, end} of slots) {
				group?.release({slotId, end, mayBeNamedLater: false});
			}
		} else if (owner) {
			// A lost release heals itself: the next renewal no longer names the slot.
			void this.#options.peers.call({
				endpoint: owner.peers,
				service: SlotsService,
				timeoutMs: RENEW_TIMEOUT_MS,
				invoke: async (client, options) => client.release({group: use.key, asker: this.#options.instance, slots}, options),
			}).run();
		}
	}

	#renewAll(): void {
		const nowMs = this.#options.now();
		for (const [name, use] of this.#groups) {
			if (use.held.size === 0 && nowMs - use.usedAtMs > IDLE_AFTER_MS) {
				this.#groups.delete(name);
			} else if (!use.isRenewing) {
				void this.#renew(use);
			}
		}
	}

	async #renew(use: GroupUse): Promise<void> {
		const {instance, now, peers, owner: ownGroups} = this.#options;
		const owner = this.#rank(use.key).find(({id}) => !this.#suspicions.isSuspect(id));
		if (!owner) {
			return;
		}

		const nowMs = now();
		const held = [...use.held].map(([slotId, {server, expiresAtMs}]) => ({slotId, server, expiresAtMs}));
		if (owner.id === instance) {
			this.#noteState({use, state: ownGroups.group(use.key)?.renew({asker: instance, held})});
			return;
		}

		use.isRenewing = true;
		const answer = await peers.call({
			endpoint: owner.peers, service: SlotsService, timeoutMs: RENEW_TIMEOUT_MS, invoke: async (client, options) => client.renew({
				group: use.key, asker: instance, held: held.map(({slotId, server, expiresAtMs}) => ({slotId, server, timeLeftMs: Math.max(0, Math.floor(expiresAtMs - nowMs))})),
			}, options),
		}).run();
		use.isRenewing = false;
		answer.ifLeft(() => {
			this.#suspicions.suspect(owner.id);
		}).ifRight(({spillSlots, expectedWaitMs}) => {
			this.#noteState({use, state: {spillSlots, expectedWaitMs}});
		});
	}

	#noteState({use, state}: {readonly use: GroupUse; readonly state: GroupState | undefined}): void {
		use.state = state;
		use.stateAtMs = this.#options.now();
	}

	#rank(key: SlotGroupKey): readonly Instance[] {
		const set = this.#options.currentSet();
		return set ? this.#ranks.rank({group: key, instances: this.#options.liveInstances(), set}) : [];
	}

	#use(key: SlotGroupKey): GroupUse {
		const name = `${key.service} ${key.region}`;
		const use = this.#groups.get(name) ?? {
			key, held: new Map(), ended: [], usedAtMs: 0, isRenewing: false, state: undefined, stateAtMs: Number.NEGATIVE_INFINITY,
		};
		use.usedAtMs = this.#options.now();
		this.#groups.set(name, use);
		return use;
	}

	#createSlotId(): string {
		this.#nextSlot += 1;
		return `${this.#options.instance} ${this.#nextSlot}`;
	}
}
