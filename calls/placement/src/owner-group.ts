/** Counts and grants the slots of the backend servers of one service in one region, at the instance that owns them. */
import {Left, Right} from 'purify-ts';
import type {
	BackendServer, BackendServerName, ConfigurationSet, InstanceId, RefusalReason, RegionName, Service,
} from '@pomelopick/core.types';
import type {Cancellation} from '@pomelopick/calls.forwarding';
import {expectedWaitMs, spillSlots} from '@pomelopick/steering.capacity';
import {listDrainedServers, SlotTracker} from '@pomelopick/steering.choice';
import type {
	DrawInteger, SlotLease, ReleaseOptions, SlotEnd,
} from '@pomelopick/steering.choice';
import {BurstPatience, FairQueue} from '@pomelopick/steering.queue';
import {IncomingLinks} from './incoming-links.js';
import type {
	AdmitShift, GroupState, ServerSlots, SlotAnswer, SlotRefusal, SlotRequest,
} from './slot-types.js';

/** Time for which a new owner only collects renewals of the slots in use before it grants any, in milliseconds. */
const WARM_UP_MS = 300;
/** Share of the proven slots that an owner grants while a higher ranked owner may still be granting slots of the same group. */
const SUBSTITUTE_LIMIT_SHARE = 0.5;
/** Maximum share of the queue that one caller may occupy. */
const MAX_CALLER_QUEUE_SHARE = 0.25;
/** Maximum wait that a burst may cause, in multiples of the mean hold time of a slot, by the priority of the service. */
const MAX_BURST_WAIT_HOLD_TIMES = {interactive: 1, deferrable: 3};
/** Hold time that is assumed before any slot was released, in milliseconds. */
const DEFAULT_HOLD_MS = 50;
/** Time after which a call may be retried when no server may get requests, in milliseconds. */
const NO_SERVER_RETRY_AFTER_MS = 1000;

/** Options of {@link OwnerGroup}. */
export interface OwnerGroupOptions {
	readonly set: ConfigurationSet;
	readonly service: Service;
	readonly region: RegionName;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly draw: DrawInteger;
	readonly admitShift: AdmitShift;
	/** Called when an attempt that came from another region ends. */
	readonly onSpillEnd: (options: {readonly from: RegionName; readonly end: SlotEnd; readonly heldMs: number}) => void;
}

/** Options of {@link OwnerGroup.release}. */
export type ReleaseSlotOptions = Omit<ReleaseOptions, 'nowMs'>;

interface Waiter {
	readonly request: SlotRequest;
	readonly arrivedAtMs: number;
	readonly answer: (answer: SlotAnswer) => void;
}

interface SpilledSlot {
	readonly from: RegionName;
	readonly takenAtMs: number;
}

/** Slots of one service in one region. */
export class OwnerGroup {
	readonly #options: OwnerGroupOptions;
	readonly #tracker: SlotTracker;
	readonly #queue: FairQueue<Waiter>;
	readonly #burstPatience: BurstPatience;
	readonly #links: IncomingLinks;
	/** Slots that were granted to calls from other regions, by slot id. */
	readonly #spilled = new Map<string, SpilledSlot>();
	/** Monotonic time from which slots are granted, in milliseconds. */
	readonly #readyAtMs: number;
	#set: ConfigurationSet;
	/** Whether the last request came here because a higher ranked owner did not respond. */
	#isSubstitute = false;

	constructor(options: OwnerGroupOptions) {
		this.#options = options;
		this.#set = options.set;
		this.#tracker = new SlotTracker({draw: options.draw});
		this.#links = new IncomingLinks({set: options.set, service: options.service, region: options.region});
		this.#queue = new FairQueue({maxItems: options.service.queueCalls, maxPerCaller: Math.max(1, Math.ceil(options.service.queueCalls * MAX_CALLER_QUEUE_SHARE))});
		this.#burstPatience = new BurstPatience({nowMs: options.now()});
		this.#readyAtMs = options.now() + WARM_UP_MS;
		this.useSet(options.set);
	}

	/** Applies a newer configuration. */
	useSet(set: ConfigurationSet): void {
		this.#set = set;
		const drained = listDrainedServers(set);
		const domainBySite = new Map(set.sites.map(site => [site.name, site.failureDomain]));
		this.#tracker.useServers(listGroupServers({set, service: this.#options.service, region: this.#options.region}).map(({name, site, slots}) => ({
			name, slots, failureDomain: domainBySite.get(site)!, isDrained: drained.has(name),
		})));
		this.#links.useSet(set);
	}

	/** Grants a slot, queues the request, or refuses it at once. */
	async acquire({request, cancellation}: {readonly request: SlotRequest; readonly cancellation: Pick<Cancellation, 'signal'>}): Promise<SlotAnswer> {
		const nowMs = this.#options.now();
		this.#isSubstitute = request.isSubstitute;
		const isReady = nowMs >= this.#readyAtMs;
		if (request.fromRegion !== this.#options.region) {
			return isReady ? this.#acquireForSpill({request, nowMs}) : Left(this.#refusal({reason: 'region-headroom-exhausted', retryAfterMs: this.#readyAtMs - nowMs}));
		}

		if (request.isHedge && (!isReady || spillSlots(this.#load(nowMs)) === 0)) {
			return Left(this.#refusal({reason: 'region-headroom-exhausted', retryAfterMs: this.#load(nowMs).holdMs}));
		}

		if (isReady) {
			// Requests that still wait after this cannot use any free slot, so this request overtakes none of them.
			this.#serveWaiting(nowMs);
		}

		const server = isReady ? this.#tryTake({request, nowMs}) : undefined;
		if (server) {
			return Right({server, waitedMs: 0});
		}

		const refusal = isReady ? this.#checkExpectedWait({request, nowMs}) : undefined;
		return refusal ? Left(refusal) : this.#wait({request, nowMs, signal: cancellation.signal});
	}

	/** Releases a slot. */
	release({slotId, end, mayBeRenewedLater = true}: ReleaseSlotOptions): void {
		const nowMs = this.#options.now();
		const spilled = this.#spilled.get(slotId);
		if (spilled) {
			this.#spilled.delete(slotId);
			this.#options.onSpillEnd({from: spilled.from, end, heldMs: nowMs - spilled.takenAtMs});
		}

		this.#tracker.release({
			slotId, end, nowMs, mayBeRenewedLater,
		});
		this.#serveWaiting(nowMs);
	}

	/** Applies a requesting instance's list of the slots that it uses, and returns the state of the group. */
	renew({asker, held}: {readonly asker: InstanceId; readonly held: readonly SlotLease[]}): GroupState {
		const nowMs = this.#options.now();
		this.#tracker.renew({asker, held, nowMs});
		return this.state();
	}

	/** Slots that are free for calls from other regions, and the expected wait of a call. */
	state(): GroupState {
		const load = this.#load(this.#options.now());
		return {spillSlots: spillSlots(load), expectedWaitMs: expectedWaitMs(load)};
	}

	/** Counts of each server. */
	snapshot(): readonly ServerSlots[] {
		return this.servers.map(({name}) => ({
			server: name, slotsInUse: this.#tracker.inUseAt(name), provenSlots: this.#tracker.provenSlotsAt(name), isLeaving: this.#tracker.isLeaving(name),
		}));
	}

	/** Records whether a server reports that it is leaving. */
	recordLeaving(options: {readonly server: BackendServerName; readonly isLeaving: boolean}): void {
		this.#tracker.recordLeaving(options);
	}

	/** Servers of the group. */
	get servers(): readonly BackendServer[] {
		return listGroupServers({set: this.#set, service: this.#options.service, region: this.#options.region});
	}

	/** Releases expired slots and serves or refuses waiting requests; called at short intervals. */
	tick(): void {
		const nowMs = this.#options.now();
		this.#tracker.expire(nowMs);
		for (const waiter of this.#queue.takeExpired(nowMs)) {
			waiter.answer(Left(this.#refusal({reason: 'queue-timeout', retryAfterMs: this.state().expectedWaitMs})));
		}

		if (nowMs >= this.#readyAtMs) {
			this.#serveWaiting(nowMs);
		}
	}

	#acquireForSpill({request, nowMs}: {readonly request: SlotRequest; readonly nowMs: number}): SlotAnswer {
		const {service, region, admitShift} = this.#options;
		const load = this.#load(nowMs);
		if (spillSlots(load) === 0) {
			return Left(this.#refusal({reason: 'region-headroom-exhausted', retryAfterMs: Math.max(load.holdMs, expectedWaitMs(load))}));
		}

		const shiftRefusal = admitShift({service, from: request.fromRegion, to: region});
		if (shiftRefusal) {
			return Left(shiftRefusal);
		}

		const link = this.#links.find({from: request.fromRegion, nowMs});
		if (!link?.tryTake({bytes: service.answerBytes, nowMs})) {
			return Left(this.#refusal({reason: 'link-capacity-exhausted', retryAfterMs: link?.waitMs({bytes: service.answerBytes}) ?? NO_SERVER_RETRY_AFTER_MS}));
		}

		const server = this.#tryTake({request, nowMs});
		if (!server) {
			return Left(this.#refusal({reason: 'region-headroom-exhausted', retryAfterMs: load.holdMs}));
		}

		this.#spilled.set(request.slotId, {from: request.fromRegion, takenAtMs: nowMs});
		return Right({server, waitedMs: 0});
	}

	#checkExpectedWait({request, nowMs}: {readonly request: SlotRequest; readonly nowMs: number}): SlotRefusal | undefined {
		const load = this.#load(nowMs);
		if (load.provenSlots === 0) {
			return this.#refusal({reason: 'no-backend-server', retryAfterMs: NO_SERVER_RETRY_AFTER_MS});
		}

		const waitMs = expectedWaitMs(load);
		this.#burstPatience.recordArrival({waiting: load.waiting, nowMs});
		const maxWaitMs = request.isLastChoice
			? this.#burstPatience.patienceMs({minMs: request.patienceMs, burstMs: MAX_BURST_WAIT_HOLD_TIMES[this.#options.service.priority] * load.holdMs, nowMs})
			: request.patienceMs;
		const patienceMs = Math.min(maxWaitMs, request.timeLeftMs - load.holdMs);
		return waitMs > patienceMs ? this.#refusal({reason: 'queue-full', retryAfterMs: waitMs}) : undefined;
	}

	async #wait({request, nowMs, signal}: {readonly request: SlotRequest; readonly nowMs: number; readonly signal: AbortSignal}): Promise<SlotAnswer> {
		if (signal.aborted) {
			return Left(this.#refusal({reason: 'caller-cancelled', retryAfterMs: 0}));
		}

		return new Promise(resolve => {
			const cancelWait = (): void => {
				this.#queue.remove({caller: request.caller, item: waiter});
				resolve(Left(this.#refusal({reason: 'caller-cancelled', retryAfterMs: 0})));
			};

			const waiter: Waiter = {
				request, arrivedAtMs: nowMs, answer(answer) {
					signal.removeEventListener('abort', cancelWait);
					resolve(answer);
				},
			};
			this.#queue.add({caller: request.caller, item: waiter, deadlineMs: nowMs + request.timeLeftMs}).ifLeft(reason => {
				resolve(Left(this.#refusal({reason, retryAfterMs: this.state().expectedWaitMs})));
			}).ifRight(() => {
				signal.addEventListener('abort', cancelWait, {once: true});
			});
		});
	}

	#serveWaiting(nowMs: number): void {
		const serveOne = (waiter: Waiter): boolean => {
			const server = this.#tryTake({request: waiter.request, nowMs});
			if (server) {
				waiter.answer(Right({server, waitedMs: nowMs - waiter.arrivedAtMs}));
			}

			return server !== undefined;
		};

		while (this.#queue.length > 0 && this.#queue.serveNext(serveOne)) {
			// Continues until no waiting request can be served.
		}
	}

	#tryTake({request, nowMs}: {readonly request: SlotRequest; readonly nowMs: number}): BackendServerName | undefined {
		const {slotId, asker, avoidServers, avoidDomains, timeLeftMs} = request;
		return this.#tracker.tryTake({
			slotId, asker, avoidServers, avoidDomains, nowMs, expiresAtMs: nowMs + timeLeftMs, limitShare: this.#isSubstitute ? SUBSTITUTE_LIMIT_SHARE : 1,
		});
	}

	#load(nowMs: number) {
		return {
			provenSlots: this.#tracker.provenSlots(nowMs), inUse: this.#tracker.inUse, waiting: this.#queue.length, holdMs: this.#tracker.holdMs ?? DEFAULT_HOLD_MS,
		};
	}

	#refusal({reason, retryAfterMs}: {readonly reason: RefusalReason; readonly retryAfterMs: number}): SlotRefusal {
		const {service, region} = this.#options;
		const {provenSlots, inUse, waiting} = this.#load(this.#options.now());
		return {reason, retryAfterMs: Math.ceil(retryAfterMs), detail: `${service.name} in ${region}: ${inUse} of ${provenSlots} proven slots in use, ${waiting} calls waiting`};
	}
}

function listGroupServers({set, service, region}: {readonly set: ConfigurationSet; readonly service: Service; readonly region: RegionName}): readonly BackendServer[] {
	const domains = new Set(set.failureDomains.filter(domain => domain.region === region).map(({name}) => name));
	const sites = new Set(set.sites.filter(({failureDomain}) => domains.has(failureDomain)).map(({name}) => name));
	return set.backendServers.filter(server => server.service === service.name && sites.has(server.site));
}
