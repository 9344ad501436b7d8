/** Plays a load on a simulated service: several instances, each with its own placement and admission state. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {
	BackendServerName, OrganisationName, RefusalReason, Route,
} from '@pomelopick/core.types';
import type {ObjectPlacement, PlacementEstimate, PlacementRefusal} from '@pomelopick/steering.objects';
import {Clock, ModelServer} from '@pomelopick/testing.placement-model';
import {LoadExchange} from './load-exchange.js';
import {
	createInstance, createRoute, createServers, MOST_SENDS, SERVERS, service, SLOTS, TARGET_MS,
} from './played-instance.js';
import type {PlayedInstance} from './played-instance.js';

const QUEUE = 8;
const REMEMBERED = 1000;
const OBJECTS = 4000;
const DELAY_MS = 2;
const DEFAULT_TIMEOUT_MS = 1500;
const WORK_MS = 150;
const MIN_EFFORT = 0.75;
const EFFORT_RANGE = 0.5;
const DRAW_RANGE = 1_000_000_000;
const MILLISECONDS_PER_SECOND = 1000;

/** Requests per second that all slots together work off. */
export const ROOM = SERVERS * SLOTS * MILLISECONDS_PER_SECOND / WORK_MS;

/** An organisation of a play. */
export interface PlayedOrganisation {
	readonly name: string;
	readonly priority: number;
	/** Requests per second at a time of the play, in milliseconds. */
	readonly rate: (nowMs: number) => number;
}

/** A time of a play, in milliseconds. */
export interface PlayedTime {
	readonly fromMs: number;
	readonly toMs: number;
}

/** Options of {@link playAdmission}. */
export interface PlayAdmissionOptions {
	readonly organisations: readonly PlayedOrganisation[];
	readonly instances: number;
	readonly durationMs: number;
	/** Requests that arrive in this time are counted, in milliseconds. */
	readonly counted: PlayedTime;
	/** Requests that arrive in this time are counted apart. */
	readonly countedBefore?: PlayedTime;
	readonly seed: number;
	/** Whether the admission decision is made; otherwise, requests are served as they come. */
	readonly decides: boolean;
	/** Whether instances exchange the loads of servers. */
	readonly exchanges: boolean;
	/** Timeout of the route, in milliseconds; 1500 by default. */
	readonly timeoutMs?: number;
	/** Multiple of the usual work at a time of the play, in milliseconds. */
	readonly slowness?: (nowMs: number) => number;
}

/** What one organisation got. */
export interface PlayedShare {
	sent: number;
	/** Requests that were answered before their deadline. */
	served: number;
	/** Requests that were answered within their target. */
	inTarget: number;
}

/** What a play came to. */
export interface PlayedFigures {
	readonly shares: ReadonlyMap<string, PlayedShare>;
	/** Shares in the time that is counted apart. */
	readonly sharesBefore: ReadonlyMap<string, PlayedShare>;
	readonly refusals: ReadonlyMap<RefusalReason, number>;
	/** Requests of which the work was begun and cut off by their deadline. */
	readonly cutOff: number;
	/** Served share of the requests of all organisations. */
	readonly servedShare: number;
}

interface PlayedRequest {
	readonly organisation: PlayedOrganisation;
	readonly route: Route;
	readonly object: string;
	readonly arrivedAtMs: number;
	readonly effort: number;
	readonly instance: PlayedInstance;
	readonly avoid: Set<BackendServerName>;
}

/** Plays the load. Refused callers do not return. */
export function playAdmission(options: PlayAdmissionOptions): PlayedFigures {
	return new AdmissionPlay(options).play();
}

class AdmissionPlay {
	readonly #options: PlayAdmissionOptions;
	readonly #clock = new Clock();
	readonly #random;
	readonly #servers = new Map(createServers().map(({name}) => [name, new ModelServer({
		slots: SLOTS, queue: QUEUE, remembered: REMEMBERED, clock: this.#clock,
	})]));

	readonly #instances: readonly PlayedInstance[];
	readonly #shares = new Map<string, PlayedShare>();
	readonly #sharesBefore = new Map<string, PlayedShare>();
	readonly #refusals = new Map<RefusalReason, number>();
	#cutOff = 0;

	constructor(options: PlayAdmissionOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed);
		this.#instances = Array.from({length: options.instances}, () => createInstance(() => this.#draw()));
	}

	play(): PlayedFigures {
		for (const organisation of this.#options.organisations) {
			this.#shares.set(organisation.name, {sent: 0, served: 0, inTarget: 0});
			this.#sharesBefore.set(organisation.name, {sent: 0, served: 0, inTarget: 0});
			this.#scheduleArrival(organisation);
		}

		if (this.#options.exchanges) {
			// A source of randomness of its own, so that the requests are the same without the exchange.
			const random = xoroshiro128plus(-1 - this.#options.seed);
			const {durationMs} = this.#options;
			new LoadExchange({
				instances: this.#instances, clock: this.#clock, durationMs, random: () => uniformInt(random, 1, DRAW_RANGE) / DRAW_RANGE,
			}).start();
		}

		this.#clock.runAll();
		const all = [...this.#shares.values()];
		const sum = (value: (share: PlayedShare) => number): number => all.reduce((total, share) => total + value(share), 0);
		return {
			shares: this.#shares,
			sharesBefore: this.#sharesBefore,
			refusals: this.#refusals,
			cutOff: this.#cutOff,
			servedShare: sum(({served}) => served) / sum(({sent}) => sent),
		};
	}

	get #timeoutMs(): number {
		return this.#options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
	}

	/** Number above 0 and up to 1. */
	#draw(): number {
		return uniformInt(this.#random, 1, DRAW_RANGE) / DRAW_RANGE;
	}

	#scheduleArrival(organisation: PlayedOrganisation): void {
		const pauseMs = -Math.log(this.#draw()) * MILLISECONDS_PER_SECOND / organisation.rate(this.#clock.nowMs);
		if (this.#clock.nowMs + pauseMs > this.#options.durationMs) {
			return;
		}

		this.#clock.after(pauseMs, () => {
			this.#scheduleArrival(organisation);
			const instance = this.#instances[Math.ceil(this.#draw() * this.#instances.length) - 1]!;
			this.#send({
				request: {
					organisation,
					route: createRoute({priority: organisation.priority, timeoutMs: this.#timeoutMs}),
					object: String(Math.ceil(this.#draw() * OBJECTS)),
					arrivedAtMs: this.#clock.nowMs,
					effort: MIN_EFFORT + (this.#draw() * EFFORT_RANGE),
					instance,
					avoid: new Set(),
				}, sends: 1,
			});
		});
	}

	#send({request, sends}: {readonly request: PlayedRequest; readonly sends: number}): void {
		const {route, object, arrivedAtMs, avoid, instance} = request;
		const {nowMs} = this.#clock;
		const deadlineMs = arrivedAtMs + this.#timeoutMs;
		const placed = instance.placer.place({
			route, service, object, avoid, deadlineMs, nowMs, ...(this.#options.decides && {admit: (estimate: PlacementEstimate) => this.#admit({request, estimate, isRetry: sends > 1})}),
		});
		placed.caseOf({
			Left: ({reason}) => {
				this.#refuse({request, reason});
			},
			Right: placement => {
				this.#sendTo({request, sends, placement});
			},
		});
	}

	#admit({request, estimate, isRetry}: {readonly request: PlayedRequest; readonly estimate: PlacementEstimate; readonly isRetry: boolean}): PlacementRefusal | undefined {
		const {instance: {admissions, deadlines}, organisation: {name, priority}, route, arrivedAtMs} = request;
		const {nowMs} = this.#clock;
		const random = this.#draw();
		const cutOff = deadlines.check({
			service, route: route.name, reliableTimes: estimate.reliableTimes, deadlineMs: arrivedAtMs + this.#timeoutMs, isRetry, nowMs, random,
		});
		return isRetry
			? cutOff
			: admissions.get({service, nowMs}).decide({
				service, priority, holder: name as OrganisationName, estimate, targetMs: TARGET_MS, targetLeftMs: arrivedAtMs + TARGET_MS - nowMs, earlierRefusal: cutOff, nowMs, random,
			});
	}

	#sendTo({request, sends, placement}: {readonly request: PlayedRequest; readonly sends: number; readonly placement: ObjectPlacement}): void {
		const {route, object, arrivedAtMs, avoid, effort, instance: {placer, observations, admissions}} = request;
		const sentAtMs = this.#clock.nowMs;
		const {name} = placement.known.server;
		const observed = observations.get(placement.known.server);
		const inFlight = {expectedMs: placement.expectedMs, sentAtMs};
		observed.begin(inFlight);
		this.#clock.after(DELAY_MS, () => {
			this.#servers.get(name)!.arrive({
				kind: {
					name: 'read', share: 1, targetLatencyMs: TARGET_MS, deadlineMs: this.#timeoutMs, warmMs: WORK_MS, coldMs: WORK_MS,
				}, object, answerByMs: arrivedAtMs + this.#timeoutMs, effort: effort * (this.#options.slowness?.(this.#clock.nowMs) ?? 1), onEnd: ({kind, load}) => {
					this.#clock.after(DELAY_MS, () => {
						const {nowMs} = this.#clock;
						const isAnswered = kind === 'answered';
						const end = isAnswered ? 'answered' : (kind === 'shed' ? 'shed' : 'timed-out');
						admissions.get({service, nowMs}).recordSend({isRejected: kind === 'shed', nowMs});
						observed.end({
							request: inFlight, end, load, nowMs,
						});
						if (isAnswered) {
							placer.recordAnswer({
								route, object, placement, heldMs: nowMs - sentAtMs, nowMs,
							});
							this.#serve(request);
						} else if (kind === 'shed' && sends < MOST_SENDS) {
							avoid.add(name);
							this.#send({request, sends: sends + 1});
						} else {
							this.#refuse({request, reason: kind === 'shed' ? 'backend-shed' : 'deadline-exceeded'});
						}
					});
				},
			});
		});
	}

	#serve({organisation: {name}, arrivedAtMs}: PlayedRequest): void {
		const heldMs = this.#clock.nowMs - arrivedAtMs;
		const share = this.#sharesAt(arrivedAtMs)?.get(name);
		if (share) {
			share.sent += 1;
			share.served += Number(heldMs <= this.#timeoutMs);
			share.inTarget += Number(heldMs <= TARGET_MS);
			this.#cutOff += Number(this.#isCounted(arrivedAtMs) && heldMs > this.#timeoutMs);
		}
	}

	#refuse({request: {organisation: {name}, arrivedAtMs}, reason}: {readonly request: PlayedRequest; readonly reason: RefusalReason}): void {
		const share = this.#sharesAt(arrivedAtMs)?.get(name);
		if (share) {
			share.sent += 1;
		}

		if (this.#isCounted(arrivedAtMs)) {
			this.#refusals.set(reason, (this.#refusals.get(reason) ?? 0) + 1);
		}
	}

	/** Where a request that arrived at a time counts; undefined: nowhere. */
	#sharesAt(arrivedAtMs: number): ReadonlyMap<string, PlayedShare> | undefined {
		const {countedBefore} = this.#options;
		const isBefore = countedBefore !== undefined && isWithin(arrivedAtMs, countedBefore);
		return isBefore ? this.#sharesBefore : (this.#isCounted(arrivedAtMs) ? this.#shares : undefined);
	}

	#isCounted(arrivedAtMs: number): boolean {
		return isWithin(arrivedAtMs, this.#options.counted);
	}
}

function isWithin(atMs: number, {fromMs, toMs}: PlayedTime): boolean {
	return atMs >= fromMs && atMs < toMs;
}
