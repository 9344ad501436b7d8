/** The groups of slots that this instance owns, and the handlers of the messages about them. */
import type {ConnectRouter} from '@connectrpc/connect';
import type {Cancellation} from '@pomelopick/calls.forwarding';
import type {
	BackendServerName, ConfigurationSet, FailureDomainName, InstanceId, RegionName, ServiceName,
} from '@pomelopick/core.types';
import {SlotsService} from '@pomelopick/peer.protocol';
import type {AcquireRequest, AcquireResponse, RenewRequest} from '@pomelopick/peer.protocol';
import type {SlotEnd} from '@pomelopick/steering.choice';
import {OwnerGroup} from './owner-group.js';
import type {OwnerGroupOptions} from './owner-group.js';
import type {SlotAnswer, SlotRequest} from './slot-types.js';
import {LeavingServerPoller} from './leaving-server-poller.js';

const TICK_MS = 20;

/** Identifies a group of slots. */
export interface SlotGroupKey {
	readonly service: ServiceName;
	readonly region: RegionName;
}

/** Options of {@link SlotOwner}. */
export interface SlotOwnerOptions extends Pick<OwnerGroupOptions, 'now' | 'draw' | 'admitShift'> {
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly onSpillEnd: (options: SlotGroupKey & {readonly from: RegionName; readonly end: SlotEnd; readonly heldMs: number}) => void;
}

interface HandleAcquireOptions {
	readonly request: AcquireRequest;
	readonly cancellation: Pick<Cancellation, 'signal'>;
}

/** Creates groups of slots on demand: an instance that gets requests for slots of a group counts them. */
export class SlotOwner {
	readonly #options: SlotOwnerOptions;
	readonly #groups = new Map<string, OwnerGroup>();
	readonly #leavingServerPoller = new LeavingServerPoller({listGroups: () => [...this.#groups.values()]});
	#timer: NodeJS.Timeout | undefined;

	constructor(options: SlotOwnerOptions) {
		this.#options = options;
	}

	/** Starts the timers of all groups. */
	start(): void {
		this.#timer = setInterval(() => {
			for (const group of this.#groups.values()) {
				group.tick();
			}
		}, TICK_MS);
		this.#leavingServerPoller.start();
	}

	/** Stops the timers. */
	stop(): void {
		clearInterval(this.#timer);
		this.#leavingServerPoller.stop();
	}

	/** Applies a newer configuration and removes the groups that it no longer contains. */
	useSet(set: ConfigurationSet): void {
		for (const [key, group] of this.#groups) {
			const [service, region] = key.split(' ');
			if (set.services.some(({name}) => name === service) && set.regions.some(({name}) => name === region)) {
				group.useSet(set);
			} else {
				this.#groups.delete(key);
			}
		}
	}

	/** Returns the group of a service in a region and creates it if needed; undefined when the configuration does not contain it. */
	getOrCreateGroup({service, region}: SlotGroupKey): OwnerGroup | undefined {
		const key = `${service} ${region}`;
		const known = this.#groups.get(key);
		const set = this.#options.currentSet();
		const configured = set?.services.find(({name}) => name === service);
		if (known) {
			return known;
		}

		if (!set || !configured) {
			return undefined;
		}

		const group = new OwnerGroup({
			...this.#options, set, service: configured, region, onSpillEnd: end => {
				this.#options.onSpillEnd({service, region, ...end});
			},
		});
		this.#groups.set(key, group);
		return group;
	}

	/** Returns a group that this instance already owns; undefined otherwise. */
	findGroup({service, region}: SlotGroupKey): OwnerGroup | undefined {
		return this.#groups.get(`${service} ${region}`);
	}

	/** Registers the messages with the listener for peers. */
	register(router: ConnectRouter): void {
		router.service(SlotsService, {
			acquire: async (request, cancellation) => this.#acquire({request, cancellation}),
			release: request => {
				const group = this.getOrCreateGroup(keyOf(request.group));
				for (const {slotId, end} of request.slots) {
					group?.release({slotId, end: end as SlotEnd});
				}

				return {};
			},
			renew: request => this.#renew(request),
		});
	}

	async #acquire({request, cancellation}: HandleAcquireOptions): Promise<Partial<Omit<AcquireResponse, '$typeName' | '$unknown'>>> {
		const group = this.getOrCreateGroup(keyOf(request.group));
		if (!group) {
			return {refusal: 'no-backend-server', detail: `${request.group?.service} in ${request.group?.region} is not configured at this instance`};
		}

		return toMessage(await group.acquire({request: toSlotRequest(request), cancellation}));
	}

	#renew({group: key, asker, held}: RenewRequest): {spillSlots: number; expectedWaitMs: number} {
		const group = this.getOrCreateGroup(keyOf(key));
		const nowMs = this.#options.now();
		const state = group?.renew({
			asker: asker as InstanceId, held: held.map(({slotId, server, timeLeftMs}) => ({slotId, server: server as BackendServerName, expiresAtMs: nowMs + timeLeftMs})),
		});
		return {spillSlots: state?.spillSlots ?? 0, expectedWaitMs: Math.ceil(state?.expectedWaitMs ?? 0)};
	}
}

function keyOf(group: {readonly service: string; readonly region: string} | undefined): SlotGroupKey {
	return {service: (group?.service ?? '') as ServiceName, region: (group?.region ?? '') as RegionName};
}

function toSlotRequest({slotId, asker, caller, fromRegion, patienceMs, timeLeftMs, avoidServers, avoidDomains, isSubstitute, isHedge, isLastChoice}: AcquireRequest): SlotRequest {
	return {
		slotId,
		asker: asker as InstanceId,
		caller,
		fromRegion: fromRegion as RegionName,
		patienceMs,
		timeLeftMs,
		avoidServers: new Set(avoidServers as BackendServerName[]),
		avoidDomains: new Set(avoidDomains as FailureDomainName[]),
		isSubstitute,
		isHedge,
		isLastChoice,
	};
}

function toMessage(answer: SlotAnswer): Partial<Omit<AcquireResponse, '$typeName' | '$unknown'>> {
	return answer.caseOf<Partial<Omit<AcquireResponse, '$typeName' | '$unknown'>>>({
		Left: ({reason, detail, retryAfterMs}) => ({refusal: reason, detail, retryAfterMs: Math.ceil(retryAfterMs)}),
		Right: ({server, waitedMs}) => ({server, waitedMs: Math.round(waitedMs)}),
	});
}
