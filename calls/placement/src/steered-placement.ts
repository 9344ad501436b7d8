/** Assigns a call to a backend server. Tries the targets of shifts, then the home region, then regions with free slots, and last a bounded wait in the home region. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {PlaceCall, PlaceCallOptions, Placement} from '@pomelopick/calls.forwarding';
import type {
	ConfigurationSet, FailureDomainName, Refusal, RegionName, ServiceName,
} from '@pomelopick/core.types';
import type {RegionChoice} from '@pomelopick/steering.capacity';
import {SHIFT_ADMISSION_TIMEOUT_MS} from '@pomelopick/steering.shifts';
import type {LocalFallback} from './local-fallback.js';
import {ConfigurationIndex} from './configuration-index.js';
import type {AcquireAnswer, AcquiredSlot, SlotClient} from './slot-client.js';

/** Maximum expected wait for a slot, in milliseconds, by the priority of the service. */
const MAX_WAIT_MS = {interactive: 250, deferrable: 1000};
/** Maximum expected wait in the home region while another region has free slots, in milliseconds. */
const MAX_HOME_WAIT_MS = 50;
/** Minimum free slots that another region must have reported before calls are sent there. */
const MIN_SPILL_SLOTS = 2;
const RETRY_AFTER_MS = 1000;

/** Options of {@link createSteeredPlacement}. */
export interface CreateSteeredPlacementOptions {
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly failureDomain: FailureDomainName;
	readonly slotClient: SlotClient;
	readonly fallback: LocalFallback;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly count: (counter: string) => void;
}

interface PlacementRequest {
	readonly options: PlaceCallOptions;
	readonly index: ConfigurationIndex;
	readonly home: RegionName;
}

interface PlaceLocallyOptions {
	readonly placementRequest: PlacementRequest;
	readonly refusal: {readonly reason: string; readonly detail: string; readonly retryAfterMs: number};
}

interface RegionRequest {
	readonly placementRequest: PlacementRequest;
	readonly region: RegionName;
	readonly patienceMs: number;
	/** Whether no other region is left to try. */
	readonly isLastChoice: boolean;
}

/** Creates a placement that follows shifts and spill rules. */
export function createSteeredPlacement(options: CreateSteeredPlacementOptions): PlaceCall {
	const placement = new SteeredPlacement(options);
	return async call => placement.place(call);
}

class SteeredPlacement {
	readonly #options: CreateSteeredPlacementOptions;
	/** Calls that are being placed, by service. */
	readonly #waiting = new Map<ServiceName, number>();
	#index: ConfigurationIndex | undefined;

	constructor(options: CreateSteeredPlacementOptions) {
		this.#options = options;
	}

	/** Places one call; refuses it when too many calls of its service already wait here. */
	async place(options: PlaceCallOptions): Promise<Either<Refusal, Placement>> {
		const index = this.#indexCurrentSet();
		const home = index?.homeRegion({site: options.callerSite, failureDomain: this.#options.failureDomain});
		if (!index || !home) {
			return Left({
				reason: 'configuration-missing',
				execution: 'not-run',
				detail: 'this instance has not received a configuration that contains the site of the caller or the failure domain of this instance',
				retryAfterMs: RETRY_AFTER_MS,
			});
		}

		const {name, queueCalls} = options.service;
		const waiting = this.#waiting.get(name) ?? 0;
		if (waiting >= queueCalls) {
			return Left({
				reason: 'queue-full', execution: 'not-run', detail: `${waiting} calls of ${name} are already waiting at this instance`, retryAfterMs: RETRY_AFTER_MS,
			});
		}

		this.#waiting.set(name, waiting + 1);
		try {
			return await this.#tryRegions({options, index, home});
		} finally {
			this.#waiting.set(name, this.#waiting.get(name)! - 1);
		}
	}

	#indexCurrentSet(): ConfigurationIndex | undefined {
		const set = this.#options.currentSet();
		if (set !== this.#index?.set) {
			this.#index = set && new ConfigurationIndex(set);
		}

		return this.#index;
	}

	async #tryRegions(placementRequest: PlacementRequest): Promise<Either<Refusal, Placement>> {
		const {service} = placementRequest.options;
		const choices = placementRequest.index.listChoices({service: service.name, home: placementRequest.home});
		const maxWaitMs = MAX_WAIT_MS[service.priority];
		const hasSpill = choices.some(choice => choice.kind === 'spill' && this.#mayHaveFreeSlots({service: service.name, choice}));
		let last: AcquireAnswer | undefined;
		for (const choice of choices) {
			if (choice.kind === 'spill' && !this.#mayHaveFreeSlots({service: service.name, choice})) {
				continue;
			}

			const patienceMs = choice.kind === 'home' ? (hasSpill ? MAX_HOME_WAIT_MS : maxWaitMs) : 0;
			const requestedAtMs = this.#options.now();
			const answer = await this.#requestSlot({
				placementRequest, region: choice.region, patienceMs, isLastChoice: choice.kind === 'home' && !hasSpill,
			});
			if (answer.isRight() && this.#isStale({choice, requestedAtMs})) {
				// The call would be sent in a later second than the one in which it was counted against the cap of the shift.
				answer.unsafeCoerce().release('cancelled');
				this.#options.count('placement.stale');
			} else if (answer.isRight()) {
				return Right(this.#toPlacement({placementRequest, choice, held: answer.unsafeCoerce()}));
			}

			last = choice.kind === 'home' || (last === undefined && answer.isLeft()) ? answer : last;
		}

		if (hasSpill && !placementRequest.options.isHedge) {
			last = await this.#requestSlot({
				placementRequest, region: placementRequest.home, patienceMs: maxWaitMs, isLastChoice: true,
			});
		}

		return last!.isRight()
			? Right(this.#toPlacement({placementRequest, choice: {region: placementRequest.home, kind: 'home', shift: undefined}, held: last.unsafeCoerce()}))
			: this.#placeLocally({placementRequest, refusal: last!.swap().unsafeCoerce()});
	}

	#isStale({choice, requestedAtMs}: {readonly choice: RegionChoice; readonly requestedAtMs: number}): boolean {
		return choice.shift !== undefined && this.#options.now() - requestedAtMs > SHIFT_ADMISSION_TIMEOUT_MS;
	}

	#mayHaveFreeSlots({service, choice}: {readonly service: ServiceName; readonly choice: RegionChoice}): boolean {
		const state = this.#options.slotClient.state({service, region: choice.region});
		return state === undefined ? this.#options.slotClient.isFirstUse({service, region: choice.region}) : state.spillSlots >= MIN_SPILL_SLOTS;
	}

	async #requestSlot({placementRequest: {options, home}, region, patienceMs, isLastChoice}: RegionRequest): Promise<AcquireAnswer> {
		const {service, caller, deadlineMs, avoidServers, avoidDomains, isHedge, cancellation} = options;
		return this.#options.slotClient.acquire({
			key: {service: service.name, region},
			request: {
				caller, fromRegion: home, patienceMs, timeLeftMs: deadlineMs - this.#options.now(), avoidServers, avoidDomains, isHedge, isLastChoice,
			},
			cancellation,
		});
	}

	#toPlacement({placementRequest: {index}, choice, held}: {readonly placementRequest: PlacementRequest; readonly choice: RegionChoice; readonly held: AcquiredSlot}): Placement {
		const {server, failureDomain} = index.findServer(held.server)!;
		this.#options.count(`placement.${choice.kind}`);
		return {
			server,
			failureDomain,
			why: `${choice.kind} region ${choice.region}, slot of ${held.owner}`,
			waitedMs: held.waitedMs,
			release(end) {
				held.release(end);
			},
		};
	}

	#placeLocally({placementRequest: {options, index, home}, refusal}: PlaceLocallyOptions): Either<Refusal, Placement> {
		const {service, avoidServers, avoidDomains} = options;
		const slot = refusal.reason === 'unreachable'
			? this.#options.fallback.tryTake({
				set: index.set, service: service.name, region: home, avoidServers, avoidDomains,
			})
			: undefined;
		if (!slot) {
			const reason = refusal.reason === 'unreachable' ? 'no-backend-server' : refusal.reason as Refusal['reason'];
			return Left({
				reason, execution: 'not-run', detail: refusal.detail, retryAfterMs: refusal.retryAfterMs,
			});
		}

		this.#options.count('placement.fallback');
		return Right({
			server: slot.server,
			failureDomain: index.findServer(slot.server.name)!.failureDomain,
			why: 'no slot owner reachable; less used of two servers by the counts of this instance',
			waitedMs: 0,
			release(end) {
				slot.release(end);
			},
		});
	}
}
