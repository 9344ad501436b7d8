/** Plays a load on a world with one policy at all instances. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {BackendServerName} from '@pomelopick/core.types';
import {Clock} from './clock.js';
import {drawPart, ObjectDraw} from './draw.js';
import {sumUp} from './figures.js';
import type {EndedRequest, PlayFigures} from './figures.js';
import {ModelServer} from './model-server.js';
import {RegionRecord} from './region-record.js';
import {isPlaced} from './policy.js';
import type {CreatePolicy, PlacementPolicy} from './policy.js';
import type {RequestKind} from './request-kind.js';
import {SpeedPhases} from './speed-phases.js';
import type {ModelRegion, World} from './world.js';

const MILLISECONDS_PER_SECOND = 1000;
/** Sends of one request at most, those that servers shed included. */
const MOST_SENDS = 3;
/** Spread of the work of requests around its mean. */
const LEAST_EFFORT = 0.75;
const EFFORT_RANGE = 0.5;
/** Differences between the seeds of successive regions, instances and servers, large enough that no two of them meet. */
const SEED_STRIDE = 7919;
const INSTANCE_SEED_STRIDE = 15_485_863;
const SERVER_SEED_STRIDE = 104_729;
/** Time between two samples of the requests in flight, in milliseconds. */
const SAMPLE_INTERVAL_MS = 100;

/** Options of {@link play}. */
export interface PlayOptions {
	readonly world: World;
	readonly createPolicy: CreatePolicy;
	readonly seed: number;
	readonly durationMs: number;
	/** Requests that arrive earlier are not counted: all servers learn all objects at first. In milliseconds. */
	readonly countedFromMs: number;
}

interface CallerRequest {
	readonly kind: RequestKind;
	readonly object: string;
	readonly region: ModelRegion;
	readonly arrivedAtMs: number;
	readonly effort: number;
}

/** Plays the load; callers whose request is refused come back once, when they were told to. */
export function play(options: PlayOptions): PlayFigures {
	return new Run(options).play();
}

class Run {
	readonly #options: PlayOptions;
	readonly #clock = new Clock();
	/** Draws the instances that callers ask; the load of each region has a source of its own, so that it is the same for all policies. */
	readonly #random;
	readonly #servers: ReadonlyMap<BackendServerName, ModelServer>;
	readonly #policies: ReadonlyMap<string, readonly PlacementPolicy[]>;
	readonly #ended: EndedRequest[] = [];
	#requests = 0;
	#retries = 0;
	readonly #regionOf: ReadonlyMap<BackendServerName, string>;
	readonly #regions: RegionRecord;
	readonly #objects: ReadonlyMap<string, ObjectDraw>;

	constructor(options: PlayOptions) {
		const {world, createPolicy, seed} = options;
		const {slots, queue, remembered, rememberedSpread = 0, regions, objectSkew = 0, slowPhases} = world.options;
		this.#options = options;
		this.#random = xoroshiro128plus(seed);
		this.#regionOf = world.regionsOfServers;
		this.#objects = new Map(regions.map(({name, objects}) => [name, new ObjectDraw({objects, skew: objectSkew})]));
		this.#servers = new Map(world.servers.map(({name}, index) => {
			const random = xoroshiro128plus(seed + ((index + 1) * SERVER_SEED_STRIDE));
			const extra = Math.floor(drawPart(random) * (rememberedSpread + 1));
			return [name, new ModelServer({
				slots, queue, remembered: remembered + Math.min(rememberedSpread, extra), clock: this.#clock, speed: slowPhases && new SpeedPhases({phases: slowPhases, random}),
			})];
		}));
		this.#regions = new RegionRecord({
			slots: new Map(regions.map(({name, servers}) => [name, servers * slots])), countedFromMs: options.countedFromMs, outage: world.options.outage,
		});
		this.#policies = new Map(regions.map(({name, instances}) => [name, Array.from({length: instances}, (_, index) => createPolicy({world, region: name, seed: seed + ((index + 1) * INSTANCE_SEED_STRIDE)}))]));
	}

	play(): PlayFigures {
		for (const [index, region] of this.#options.world.options.regions.entries()) {
			this.#scheduleArrival({region, load: xoroshiro128plus(this.#options.seed + ((index + 1) * SEED_STRIDE))});
		}

		this.#scheduleSample();
		this.#scheduleOutage();
		this.#clock.runAll();
		const counts = [...this.#servers.values()].map(server => server.counts);
		return sumUp({
			ended: this.#ended,
			runs: counts.reduce((sum, {runs}) => sum + runs, 0),
			coldRuns: counts.reduce((sum, {coldRuns}) => sum + coldRuns, 0),
			sheds: counts.reduce((sum, {sheds}) => sum + sheds, 0),
			mostRuns: Math.max(...counts.map(({runs}) => runs)),
			servers: counts.length,
			peakRegionLoad: this.#regions.peakLoad,
			maxShift: this.#regions.maxShift,
		});
	}

	/** Samples the requests in flight in each region. */
	#scheduleSample(): void {
		if (this.#clock.nowMs + SAMPLE_INTERVAL_MS > this.#options.durationMs) {
			return;
		}

		this.#clock.after(SAMPLE_INTERVAL_MS, () => {
			for (const [name, server] of this.#servers) {
				this.#regions.recordLoad({region: this.#regionOf.get(name)!, inFlight: server.inFlight});
			}

			this.#regions.endSample(this.#clock.nowMs);
			this.#scheduleSample();
		});
	}

	/** Tells all instances when the servers of a region are gone and when they are back. */
	#scheduleOutage(): void {
		const {outage} = this.#options.world.options;
		if (!outage) {
			return;
		}

		for (const [atMs, isUp] of [[outage.fromMs, false], [outage.untilMs, true]] as const) {
			this.#clock.after(atMs, () => {
				for (const policy of [...this.#policies.values()].flat()) {
					policy.changeRegion?.({region: outage.region, isUp, nowMs: this.#clock.nowMs});
				}
			});
		}
	}

	#scheduleArrival({region, load}: RegionLoad): void {
		const pauseMs = -Math.log(drawPart(load)) * MILLISECONDS_PER_SECOND / region.requestsPerSecond;
		if (this.#clock.nowMs + pauseMs > this.#options.durationMs) {
			return;
		}

		this.#clock.after(pauseMs, () => {
			this.#scheduleArrival({region, load});
			this.#requests += 1;
			this.#ask({request: this.#drawRequest({region, load}), isReturn: false});
		});
	}

	#drawRequest({region, load}: RegionLoad): CallerRequest {
		let left = drawPart(load);
		const {kinds, hasSharedObjects = false, tail} = this.#options.world.options;
		const kind = kinds.find(({share}) => {
			left -= share;
			return left <= 0;
		}) ?? kinds[0]!;
		return {
			kind,
			object: `${hasSharedObjects ? 'any' : region.name} ${this.#objects.get(region.name)!.draw(load)}`,
			region,
			arrivedAtMs: this.#clock.nowMs,
			effort: (LEAST_EFFORT + (drawPart(load) * EFFORT_RANGE)) * (tail && drawPart(load) < tail.share ? tail.factor : 1),
		};
	}

	/** A caller asks any instance of its region. */
	#ask({request, isReturn}: {readonly request: CallerRequest; readonly isReturn: boolean}): void {
		const policies = this.#policies.get(request.region.name)!;
		const policy = policies[uniformInt(this.#random, 0, policies.length - 1)]!;
		this.#send({
			request, policy, isReturn, avoid: new Set(), sends: 1,
		});
	}

	#send(options: SendOptions): void {
		const {request, policy, avoid, sends} = options;
		const {kind, object, arrivedAtMs} = request;
		const answerByMs = arrivedAtMs + kind.deadlineMs;
		const placed = policy.place({
			request: {
				kind, object, answerByMs, avoid,
			}, nowMs: this.#clock.nowMs,
		});
		if (!isPlaced(placed)) {
			this.#refuse({...options, retryAfterMs: placed.retryAfterMs});
			return;
		}

		const delayMs = this.#delayMs(request.region, placed.server);
		if (sends === 1) {
			this.#regions.recordSend({from: request.region.name, to: this.#regionOf.get(placed.server)!, nowMs: this.#clock.nowMs});
		}

		this.#clock.after(delayMs, () => {
			this.#servers.get(placed.server)!.arrive({
				kind, object, answerByMs, effort: request.effort, onEnd: ({kind: end, load}) => {
					this.#clock.after(delayMs, () => {
						placed.onEnd({end: end === 'answered' ? 'answered' : 'shed', load, nowMs: this.#clock.nowMs});
						if (end === 'shed' && sends < MOST_SENDS && this.#takeRetry()) {
							this.#send({...options, avoid: new Set([...avoid, placed.server]), sends: sends + 1});
						} else {
							this.#end({request, isAnswered: end === 'answered'});
						}
					});
				},
			});
		});
	}

	/** Whether a request that was shed may be sent again. */
	#takeRetry(): boolean {
		const {retryShare = Number.POSITIVE_INFINITY} = this.#options.world.options;
		const isAllowed = this.#retries < retryShare * this.#requests;
		this.#retries += Number(isAllowed);
		return isAllowed;
	}

	#delayMs(region: ModelRegion, server: BackendServerName): number {
		const {nearMs, farMs} = this.#options.world.options;
		return this.#regionOf.get(server) === region.name ? nearMs : farMs;
	}

	#refuse({request, isReturn, retryAfterMs}: SendOptions & {readonly retryAfterMs: number}): void {
		const {arrivedAtMs, kind} = request;
		if (isReturn || this.#clock.nowMs + retryAfterMs >= arrivedAtMs + kind.deadlineMs) {
			this.#note({request, end: 'refused'});
			return;
		}

		this.#clock.after(retryAfterMs, () => {
			this.#ask({request, isReturn: true});
		});
	}

	#end({request, isAnswered}: {readonly request: CallerRequest; readonly isAnswered: boolean}): void {
		const {kind: {targetLatencyMs, deadlineMs}, arrivedAtMs} = request;
		const elapsedMs = this.#clock.nowMs - arrivedAtMs;
		const isInTime = isAnswered && elapsedMs <= deadlineMs;
		this.#note({request, end: isInTime ? (elapsedMs <= targetLatencyMs ? 'in-target' : 'late') : 'failed'});
	}

	#note({request: {arrivedAtMs, region}, end}: {readonly request: CallerRequest; readonly end: EndedRequest['end']}): void {
		if (arrivedAtMs >= this.#options.countedFromMs) {
			this.#ended.push({region: region.name, end, elapsedMs: this.#clock.nowMs - arrivedAtMs});
		}
	}
}

interface RegionLoad {
	readonly region: ModelRegion;
	/** Source of the region's load. */
	readonly load: RandomGenerator;
}

interface SendOptions {
	readonly request: CallerRequest;
	readonly policy: PlacementPolicy;
	/** Whether the caller came back after a refusal. */
	readonly isReturn: boolean;
	readonly avoid: ReadonlySet<BackendServerName>;
	readonly sends: number;
}
