/**
 * Decides whether a request may be sent to a server whose rate is limited for all instances together.
 *
 * The owner of the server decides about its own requests at once. Any other instance asks the owner for a permit for one
 * request, if the server named the limit; while no permit is to be had, its requests go to other servers at once.
 */
import type {Either} from 'purify-ts';
import type {CallCounters} from '@pomelopick/core.telemetry';
import type {
	BackendServerName, CodedError, Endpoint, InstanceId,
} from '@pomelopick/core.types';
import {FleetRateLimits, namedLimit, warmupLimit} from '@pomelopick/steering.limits';
import type {FleetRateLimit, FleetView, TryTakeOptions} from '@pomelopick/steering.limits';
import type {NamedRateLimits, RateLimitRecord, ServerStart} from '@pomelopick/steering.servers';
import type {AskOptions} from './permit-client.js';
import type {PermitAnswer, PermitRequest} from './permit-messages.js';
import type {RateLimitUse} from './rate-limit-use.js';

/** Maximum time for which a request waits for a permit, in milliseconds. */
const ASK_TIMEOUT_MS = 200;
/** Time for which the owner is not asked again after it gave no answer, or did not consider itself the owner, in milliseconds. */
const ASK_BACKOFF_MS = 500;
/** Bounds of the time after which an owner is asked again that had no permit, in milliseconds. */
const MIN_ASK_INTERVAL_MS = 20;
const MAX_ASK_INTERVAL_MS = 2000;

/** A server, as far as its limits depend on it. */
export interface LimitedServer {
	readonly server: ServerStart;
	/** Monotonic time until which it warms up, in milliseconds. */
	readonly coldUntilMs: number;
}

/** Options of {@link RatePermits}. */
export interface RatePermitsOptions {
	readonly self: InstanceId;
	readonly rateLimits: NamedRateLimits;
	/** Whether a server may have restarted unnoticed, so that it must be assumed to warm up. */
	readonly mayBeCold: (server: ServerStart) => boolean;
	/** Requests per second that a server can handle while it warms up. */
	readonly warmupPerSecond: (server: BackendServerName) => number;
	/** The entry of a server; undefined when it is not registered. */
	readonly findEntry: (name: BackendServerName) => LimitedServer | undefined;
	readonly fleet: () => FleetView;
	/** Endpoint at which an instance is asked for permits; undefined when it has none. */
	readonly findPeer: (instance: InstanceId) => Endpoint | undefined;
	/** Asks another instance for a permit; never rejects. */
	readonly ask: (options: AskOptions) => Promise<Either<CodedError, PermitAnswer>>;
	/** Applies what another instance knows of a limit. */
	readonly onRecord: (record: RateLimitRecord) => void;
	readonly use: RateLimitUse;
	readonly counters: CallCounters;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link RatePermits.mayTake}. */
export interface MayTakeOptions {
	readonly known: LimitedServer;
	/** Whether the owner of the server may be asked. */
	readonly mayAsk: boolean;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link RatePermits.take}. */
export interface TakeOptions {
	readonly known: LimitedServer;
	/** Monotonic time by which the request must have its final response, in milliseconds. */
	readonly answerByMs: number;
}

interface AskState {
	/** Whether an answer is awaited. */
	isAsking: boolean;
	/** Monotonic time until which the owner is not asked, in milliseconds. */
	closedUntilMs: number;
}

/** Permits to send requests to limited servers. */
export class RatePermits {
	readonly #options: RatePermitsOptions;
	readonly #limits: FleetRateLimits;
	readonly #asks = new Map<BackendServerName, AskState>();

	constructor(options: RatePermitsOptions) {
		this.#options = options;
		this.#limits = new FleetRateLimits({self: options.self});
	}

	/** Whether a request may be sent to a server now, perhaps after asking its owner; always true for servers without a limit. */
	mayTake({known, mayAsk, nowMs}: MayTakeOptions): boolean {
		const limits = this.#limitsOf({known, nowMs});
		if (limits.length === 0) {
			return true;
		}

		const options = this.#toTakeOptions({known, limits, nowMs});
		return this.#isOwner(options) ? this.#limits.mayTake(options) : mayAsk && this.#mayAsk(known);
	}

	/** Takes a permit for one request; resolves, or returns at once if nobody has to be asked, with whether there is one. Never rejects. */
	take({known, answerByMs}: TakeOptions): boolean | Promise<boolean> {
		const nowMs = this.#options.now();
		const limits = this.#limitsOf({known, nowMs});
		if (limits.length === 0) {
			return true;
		}

		const options = this.#toTakeOptions({known, limits, nowMs});
		if (!this.#isOwner(options)) {
			return this.#mayAsk(known) && this.#ask({known, options, answerByMs});
		}

		const isTaken = this.#limits.tryTake(options);
		this.#options.use.record({server: known.server, kind: isTaken ? 'taken' : 'used-up'});
		return isTaken;
	}

	/** Monotonic time at which a server that names a limit may get another request of this instance, in milliseconds; undefined for other servers. */
	closedUntilMs(known: LimitedServer): number | undefined {
		const {rateLimits, now} = this.#options;
		if (rateLimits.requestsPerSecond(known.server) === undefined) {
			return undefined;
		}

		const nowMs = now();
		const options = this.#toTakeOptions({known, limits: this.#limitsOf({known, nowMs}), nowMs});
		const untilMs = this.#isOwner(options) ? nowMs + this.#limits.waitMs(options) : this.#asks.get(known.server.name)?.closedUntilMs ?? nowMs;
		return Math.min(Math.max(untilMs, nowMs + MIN_ASK_INTERVAL_MS), nowMs + MAX_ASK_INTERVAL_MS);
	}

	/** Lets the owner of a server earn tokens from the time at which it learns that the server warms up, and not only from its first request. */
	beginWarmup(known: LimitedServer): void {
		this.mayTake({known, mayAsk: false, nowMs: this.#options.now()});
	}

	/** Whether a server warms up, or must be assumed to, so that each request to it takes a token. */
	isCold({server, coldUntilMs}: LimitedServer): boolean {
		const {mayBeCold, now} = this.#options;
		return now() < coldUntilMs || mayBeCold(server);
	}

	/** Answers an instance that asks for a permit. */
	answer({record}: PermitRequest): PermitAnswer {
		const {onRecord, rateLimits, findEntry, use, now} = this.#options;
		onRecord(record);
		const nowMs = now();
		const entry = findEntry(record.name);
		const known = entry?.server.startedAtMs === record.startedAtMs && entry ? entry : {server: record, coldUntilMs: Number.NEGATIVE_INFINITY};
		const newest = rateLimits.recordOf(record) ?? record;
		const limits = this.#limitsOf({known, nowMs});
		const options = this.#toTakeOptions({known, limits, nowMs});
		if (limits.length > 0 && !this.#isOwner(options)) {
			return {isGranted: false, retryAfterMs: ASK_BACKOFF_MS, record: newest};
		}

		const isGranted = limits.length === 0 || this.#limits.tryTake(options);
		use.record({server: record, kind: isGranted ? 'granted' : 'denied'});
		return {isGranted, retryAfterMs: isGranted ? 0 : Math.min(MAX_ASK_INTERVAL_MS, this.#limits.waitMs(options)), record: newest};
	}

	/** Whether this instance owns a server. */
	owns(record: RateLimitRecord): boolean {
		return this.#isOwner(this.#toTakeOptions({known: {server: record, coldUntilMs: 0}, limits: noLimits, nowMs: this.#options.now()}));
	}

	/** Removes the state of a server. */
	forget(server: BackendServerName): void {
		this.#limits.forget(server);
		this.#asks.delete(server);
	}

	#limitsOf({known, nowMs}: {readonly known: LimitedServer; readonly nowMs: number}): readonly FleetRateLimit[] {
		const {rateLimits, mayBeCold, warmupPerSecond} = this.#options;
		const named = rateLimits.requestsPerSecond(known.server);
		const isCold = nowMs < known.coldUntilMs || mayBeCold(known.server);
		if (named === undefined && !isCold) {
			return noLimits;
		}

		return [...(named === undefined ? noLimits : [namedLimit(named)]), ...(isCold ? [warmupLimit(warmupPerSecond(known.server.name))] : noLimits)];
	}

	#toTakeOptions({known, limits, nowMs}: {readonly known: LimitedServer; readonly limits: readonly FleetRateLimit[]; readonly nowMs: number}): TryTakeOptions {
		return {
			server: known.server.name, limits, fleet: this.#options.fleet(), nowMs,
		};
	}

	#isOwner(options: TryTakeOptions): boolean {
		return this.#limits.ownerOf(options) === this.#options.self;
	}

	/** Whether the owner may be asked: only about limits that servers name, and by one request at a time. */
	#mayAsk({server}: LimitedServer): boolean {
		const {rateLimits, now} = this.#options;
		const state = this.#asks.get(server.name);
		return rateLimits.requestsPerSecond(server) !== undefined && (state === undefined || (!state.isAsking && now() >= state.closedUntilMs));
	}

	async #ask({known, options, answerByMs}: TakeOptions & {readonly options: TryTakeOptions}): Promise<boolean> {
		const {findPeer, ask, rateLimits, counters, now} = this.#options;
		const {server} = known;
		const owner = this.#limits.ownerOf(options);
		const endpoint = owner && findPeer(owner);
		const timeoutMs = Math.min(ASK_TIMEOUT_MS, answerByMs - now());
		const record = rateLimits.recordOf(server);
		if (!endpoint || !record || timeoutMs <= 0) {
			this.#asks.set(server.name, {isAsking: false, closedUntilMs: now() + ASK_BACKOFF_MS});
			return false;
		}

		const state: AskState = {isAsking: true, closedUntilMs: 0};
		this.#asks.set(server.name, state);
		const answered = await ask({endpoint, message: {record}, timeoutMs});
		state.isAsking = false;
		return answered.caseOf({
			Left({code}) {
				counters.add(`rate-limit.${code}`);
				state.closedUntilMs = now() + ASK_BACKOFF_MS;
				return false;
			},
			Right: answer => this.#applyAnswer({server, state, answer}),
		});
	}

	#applyAnswer({server, state, answer: {isGranted, retryAfterMs, record}}: {readonly server: ServerStart; readonly state: AskState; readonly answer: PermitAnswer}): boolean {
		const {onRecord, use, now} = this.#options;
		onRecord(record);
		use.record({server, kind: isGranted ? 'received' : 'not-received'});
		if (!isGranted) {
			state.closedUntilMs = now() + Math.min(MAX_ASK_INTERVAL_MS, Math.max(MIN_ASK_INTERVAL_MS, retryAfterMs));
		}

		return isGranted;
	}
}

const noLimits: readonly FleetRateLimit[] = [];
