/** Requests slots from their owners, renews the slots in use, and falls back to the next ranked owner when one does not respond. */
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
import {OwnerRankCache} from './owner-rank.js';
import {UnresponsiveOwners, UNRESPONSIVE_OWNER_SKIP_MS} from './unresponsive-owners.js';
import type {SlotGroupKey, SlotOwner} from './slot-owner.js';

const RENEW_INTERVAL_MS = 400;
/** Time without a response to a renewal after which an owner is unresponsive, in milliseconds; a busy processor causes shorter delays. */
const RENEW_TIMEOUT_MS = 1500;
/** Added to a call's remaining time to get the timeout of the slot request, in milliseconds; renewals detect an unresponsive owner long before. */
const ANSWER_MARGIN_MS = 100;
/** Time after its last use for which a group without slots in use is still renewed, in milliseconds. */
const IDLE_GROUP_MS = 5000;
/** Age from which the reported state of a group is too old to use, in milliseconds. */
const MAX_STATE_AGE_MS = 1200;
const MAX_OWNERS_ASKED = 2;

/** Options of {@link SlotClient}. */
export interface SlotClientOptions {
	readonly instance: InstanceId;
	readonly owner: SlotOwner;
	readonly peers: PeerClients;
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly liveInstances: () => readonly Instance[];
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly count: (counter: string) => void;
}

/** A slot that an owner granted to this instance. */
export interface AcquiredSlot {
	readonly server: BackendServerName;
	readonly waitedMs: number;
	readonly owner: InstanceId;
	release(end: SlotEnd): void;
}

/** Answer to a request for a slot: a slot, a refusal, or `unreachable` when no owner answered. */
export type AcquireAnswer = Either<{readonly reason: RefusalReason | 'unreachable'; readonly detail: string; readonly retryAfterMs: number}, AcquiredSlot>;

/** Options of {@link SlotClient.acquire}. */
export interface AcquireOptions {
	readonly key: SlotGroupKey;
	readonly request: Omit<SlotRequest, 'slotId' | 'asker' | 'isSubstitute'>;
	readonly cancellation: Cancellation;
}

interface RequestSlotOptions {
	readonly key: SlotGroupKey;
	readonly owner: Instance;
	readonly request: SlotRequest;
	readonly cancellation: Cancellation;
}

/** State of a group that this instance requests slots of. */
interface UsedGroup {
	readonly key: SlotGroupKey;
	/** Slots in use, by slot id. */
	readonly held: Map<string, {readonly server: BackendServerName; readonly expiresAtMs: number}>;
	/** Slots to be released with the next message. */
	readonly ended: Array<{readonly slotId: string; readonly end: SlotEnd}>;
	lastUsedAtMs: number;
	isRenewing: boolean;
	state: GroupState | undefined;
	/** Monotonic time at which the state was received, in milliseconds. */
	stateAtMs: number;
}

interface TrackSlotOptions {
	readonly usedGroup: UsedGroup;
	readonly slotId: string;
	readonly server: BackendServerName;
	readonly waitedMs: number;
	readonly owner: InstanceId;
	readonly expiresAtMs: number;
}

/** Client of the slot owners. */
export class SlotClient {
	readonly #options: SlotClientOptions;
	readonly #groups = new Map<string, UsedGroup>();
	readonly #ranks = new OwnerRankCache();
	readonly #unresponsive: UnresponsiveOwners;
	#lastSlotNumber = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: SlotClientOptions) {
		this.#options = options;
		this.#unresponsive = new UnresponsiveOwners(options);
	}

	/** Starts renewing the slots in use with their owners. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#renewAll();
		}, RENEW_INTERVAL_MS);
	}

	/** Stops renewing. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Returns the last state that the owner of a group reported; undefined when it is too old. */
	state(key: SlotGroupKey): GroupState | undefined {
		const usedGroup = this.#groups.get(`${key.service} ${key.region}`);
		return usedGroup && this.#options.now() - usedGroup.stateAtMs < MAX_STATE_AGE_MS ? usedGroup.state : undefined;
	}

	/** Marks a group as used, so that its state is requested with each renewal; returns whether it was unused before. */
	isFirstUse(key: SlotGroupKey): boolean {
		const isKnown = this.#groups.has(`${key.service} ${key.region}`);
		this.#useGroup(key);
		return !isKnown;
	}

	/** Returns the instance that this one would currently request a slot of a group from. */
	ownerOf(key: SlotGroupKey): InstanceId | undefined {
		return this.#rankOwners(key).find(({id}) => !this.#unresponsive.isUnresponsive(id))?.id;
	}

	/** Requests a slot; tries the next ranked owner when one does not answer. */
	async acquire({key, request, cancellation}: AcquireOptions): Promise<AcquireAnswer> {
		const {now, count} = this.#options;
		const usedGroup = this.#useGroup(key);
		const startedAtMs = now();
		for (let attempt = 0; attempt < MAX_OWNERS_ASKED; attempt += 1) {
			const ranked = this.#rankOwners(key);
			const owner = ranked.find(({id}) => !this.#unresponsive.isUnresponsive(id));
			const timeLeftMs = request.timeLeftMs - (now() - startedAtMs);
			if (!owner || timeLeftMs <= 0) {
				break;
			}

			const slotId = this.#nextSlotId();
			const requestedAtMs = now();
			const slotRequest: SlotRequest = {
				...request, slotId, asker: this.#options.instance, timeLeftMs, isSubstitute: owner !== ranked[0],
			};
			const answer = await this.#requestSlot({
				key, owner, request: slotRequest, cancellation,
			});
			if (answer) {
				return answer.map(({server, waitedMs}) => this.#trackSlot({
					usedGroup, slotId, server, waitedMs, owner: owner.id, expiresAtMs: requestedAtMs + timeLeftMs,
				}));
			}

			if (cancellation.isCancelled) {
				break;
			}

			if (!this.#unresponsive.isUnresponsive(owner.id)) {
				count('placement.owner-silent');
				this.#unresponsive.markUnresponsive(owner.id);
			}
		}

		return Left({reason: cancellation.isCancelled ? 'caller-cancelled' : 'unreachable', detail: 'no owner of the slots answered', retryAfterMs: UNRESPONSIVE_OWNER_SKIP_MS});
	}

	async #requestSlot({key, owner, request, cancellation}: RequestSlotOptions): Promise<SlotAnswer | undefined> {
		if (owner.id === this.#options.instance) {
			return this.#options.owner.getOrCreateGroup(key)?.acquire({request, cancellation});
		}

		const answer = await this.#options.peers.call({
			endpoint: owner.peers,
			service: SlotsService,
			timeoutMs: request.timeLeftMs + ANSWER_MARGIN_MS,
			signal: AbortSignal.any([cancellation.signal, this.#unresponsive.signalFor(owner.id)]),
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

	#trackSlot({usedGroup, slotId, server, waitedMs, owner, expiresAtMs}: TrackSlotOptions): AcquiredSlot {
		usedGroup.held.set(slotId, {server, expiresAtMs});
		return {
			server, waitedMs, owner, release: end => {
				if (usedGroup.held.delete(slotId)) {
					this.#release({usedGroup, slotId, end});
				}
			},
		};
	}

	/** Releases of one turn of the event loop are sent in one message. */
	#release({usedGroup, slotId, end}: {readonly usedGroup: UsedGroup; readonly slotId: string; readonly end: SlotEnd}): void {
		usedGroup.ended.push({slotId, end});
		if (usedGroup.ended.length === 1) {
			setImmediate(() => {
				this.#sendReleases(usedGroup);
			});
		}
	}

	#sendReleases(usedGroup: UsedGroup): void {
		const slots = usedGroup.ended.splice(0);
		const owner = this.#rankOwners(usedGroup.key).find(({id}) => !this.#unresponsive.isUnresponsive(id));
		if (owner?.id === this.#options.instance) {
			const group = this.#options.owner.getOrCreateGroup(usedGroup.key);
			for (const {slotId, end} of slots) {
				group?.release({slotId, end, mayBeRenewedLater: false});
			}
		} else if (owner) {
			// A lost release needs no retry: the next renewal no longer lists the slot.
			void this.#options.peers.call({
				endpoint: owner.peers,
				service: SlotsService,
				timeoutMs: RENEW_TIMEOUT_MS,
				invoke: async (client, options) => client.release({group: usedGroup.key, asker: this.#options.instance, slots}, options),
			}).run();
		}
	}

	#renewAll(): void {
		const nowMs = this.#options.now();
		for (const [name, usedGroup] of this.#groups) {
			if (usedGroup.held.size === 0 && nowMs - usedGroup.lastUsedAtMs > IDLE_GROUP_MS) {
				this.#groups.delete(name);
			} else if (!usedGroup.isRenewing) {
				void this.#renew(usedGroup);
			}
		}
	}

	async #renew(usedGroup: UsedGroup): Promise<void> {
		const {instance, now, peers, owner: slotOwner} = this.#options;
		const owner = this.#rankOwners(usedGroup.key).find(({id}) => !this.#unresponsive.isUnresponsive(id));
		if (!owner) {
			return;
		}

		const nowMs = now();
		const held = [...usedGroup.held].map(([slotId, {server, expiresAtMs}]) => ({slotId, server, expiresAtMs}));
		if (owner.id === instance) {
			this.#recordState({usedGroup, state: slotOwner.getOrCreateGroup(usedGroup.key)?.renew({asker: instance, held})});
			return;
		}

		usedGroup.isRenewing = true;
		const answer = await peers.call({
			endpoint: owner.peers, service: SlotsService, timeoutMs: RENEW_TIMEOUT_MS, invoke: async (client, options) => client.renew({
				group: usedGroup.key, asker: instance, held: held.map(({slotId, server, expiresAtMs}) => ({slotId, server, timeLeftMs: Math.max(0, Math.floor(expiresAtMs - nowMs))})),
			}, options),
		}).run();
		usedGroup.isRenewing = false;
		answer.ifLeft(() => {
			this.#unresponsive.markUnresponsive(owner.id);
		}).ifRight(({spillSlots, expectedWaitMs}) => {
			this.#recordState({usedGroup, state: {spillSlots, expectedWaitMs}});
		});
	}

	#recordState({usedGroup, state}: {readonly usedGroup: UsedGroup; readonly state: GroupState | undefined}): void {
		usedGroup.state = state;
		usedGroup.stateAtMs = this.#options.now();
	}

	#rankOwners(key: SlotGroupKey): readonly Instance[] {
		const set = this.#options.currentSet();
		return set ? this.#ranks.rank({group: key, instances: this.#options.liveInstances(), set}) : [];
	}

	#useGroup(key: SlotGroupKey): UsedGroup {
		const name = `${key.service} ${key.region}`;
		const usedGroup = this.#groups.get(name) ?? {
			key, held: new Map(), ended: [], lastUsedAtMs: 0, isRenewing: false, state: undefined, stateAtMs: Number.NEGATIVE_INFINITY,
		};
		usedGroup.lastUsedAtMs = this.#options.now();
		this.#groups.set(name, usedGroup);
		return usedGroup;
	}

	#nextSlotId(): string {
		this.#lastSlotNumber += 1;
		return `${this.#options.instance} ${this.#lastSlotNumber}`;
	}
}
