/**
 * Decides how much of one shard an instance uses.
 *
 * An owner is the only user while its registration certainly exists: no other instance claims the shard as long as it
 * does. The registration exists for the time to live of its lease, counted from just before the last renewal was sent. After
 * that the owner may be cut off from the store and have a successor. It then uses CUT_OFF_SHARE, and its successor
 * PARTIAL_SHARE, so that the shares never add up to more than 1. To use more again, the owner must write its own record
 * by compare-and-swap, which shows that nobody claimed the shard meanwhile.
 *
 * A store that returns from an older copy loses claims of the last seconds. An owner therefore uses nothing while it is
 * cut off unless its claim is older than any copy, and after a return a claim takes effect only when the registrations from
 * before have expired.
 */
import {
	claimOf, endingOf, promotionOf, releaseOf,
} from './shard-claims.js';
import {isSameProcess, stageOf} from './shard-record.js';
import type {InstanceProcess, ShardRecord, ShardStage} from './shard-record.js';

/** Share of an owner that may have a successor. */
export const CUT_OFF_SHARE = 0.65;
/** Share of an owner whose predecessor may be cut off. */
export const PARTIAL_SHARE = 0.35;
/** Time after the last renewal of its registration for which an owner is the only user, in milliseconds: the time to live of the lease, 4800 ms, less the longest undetected suspension and a margin. */
export const REGISTERED_MS = 4300;
/** Time for which an owner uses its share while it is cut off, in milliseconds. */
export const CUT_OFF_MS = 600_000;
/** Time after its claim from which an owner is the only user, in milliseconds: its predecessors have stopped, also those whose registration a return of the store has removed early. */
export const PROMOTION_MS = CUT_OFF_MS + 10_000;
/** Age from which a claim is in every copy of the store, in milliseconds: copies are some seconds old. */
export const DURABLE_MS = 10_000;
/** Time after a return of the store in which owners whose claim it has lost may still use their shard, in milliseconds. */
export const RETURN_MS = 5000;

const shareOfStage: Readonly<Record<ShardStage, number>> = {full: 1, partial: PARTIAL_SHARE, none: 0};
const cutOffShares: Readonly<Record<ShardStage, number>> = {full: CUT_OFF_SHARE, partial: PARTIAL_SHARE, none: 0};

/** A record as it was read or written. */
export interface ObservedRecord {
	readonly record: ShardRecord;
	/** Index of the write. */
	readonly index: number;
}

/** A write that is to be made if the shard's key still has the expected index. */
export interface ShardWrite {
	readonly record: ShardRecord;
	/** 0: the key must not exist. */
	readonly expectedIndex: number;
	/** Number of the registration under which it is made. */
	readonly registration: number;
}

/** Options of {@link ShardOwnership.applyWrite}. */
export interface ApplyWriteOptions extends ObservedRecord {
	/** Number of the registration under which the write was made. */
	readonly registration: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** What an owner knows of its claim. The holding lapses when its registration may have expired; the owner then uses its cut-off share. */
interface Holding {
	/** Number of the claim; undefined: it may be lost, since the store has returned from an older copy. */
	claim: number | undefined;
	/** Stage up to which the claim is in every copy of the store. */
	durableStage: ShardStage;
	/** Monotonic time at which the stage was known to be written, in milliseconds. */
	stageSinceMs: number;
	/** Monotonic time at which the first claim of an unbroken series was known to be written, in milliseconds. */
	readonly claimedAtMs: number;
	/** Monotonic time from which it may have a successor, in milliseconds; undefined: it has none. */
	lapsedAtMs: number | undefined;
	/** Whether it held the shard already when the store returned, so that it goes on with its share of then. */
	readonly isContinued: boolean;
}

/** State of one shard at one instance. */
export class ShardOwnership {
	readonly #self: InstanceProcess;
	#known: ObservedRecord | undefined;
	#holding: Holding | undefined;
	/** Monotonic time until which the registration of this instance certainly exists, in milliseconds. */
	#registeredUntilMs = Number.NEGATIVE_INFINITY;
	/** Number of uninterrupted registrations so far. A claim under an earlier one may have been followed by another instance's. */
	#registration = 0;
	/** Monotonic time from which claims take effect after a return of the store, in milliseconds. */
	#settledAtMs = Number.NEGATIVE_INFINITY;
	/** Increases with each claim; tokens from before must not be used. */
	#generation = 0;

	constructor({self}: {readonly self: InstanceProcess}) {
		this.#self = self;
	}

	/** Newest record that this instance has seen; undefined: none. */
	get record(): ShardRecord | undefined {
		return this.#known?.record;
	}

	/** Counter that grows with each claim of this instance. */
	get generation(): number {
		return this.#generation;
	}

	/** Monotonic time since which it has been allowed the share of now or more, in milliseconds. */
	get usableSinceMs(): number {
		return Math.max(this.#holding?.stageSinceMs ?? Number.POSITIVE_INFINITY, this.#settledAtMs);
	}

	/** Whether this instance holds the shard, perhaps with a share of 0. */
	get isHeld(): boolean {
		return this.#holding !== undefined;
	}

	/** Whether this instance holds the shard and certainly nobody has owned it before: its claim is the first, in a store that has never returned from an older copy. */
	get isFirstOwner(): boolean {
		return this.#holding?.claim === 1 && this.#settledAtMs === Number.NEGATIVE_INFINITY;
	}

	/** Applies a record that was read in the store; returns whether this instance lost the shard by it. */
	observe({record, index, nowMs}: ObservedRecord & {readonly nowMs: number}): boolean {
		if (this.#known && index <= this.#known.index) {
			return false;
		}

		const previous = this.#known?.record;
		this.#known = {record, index};
		const holding = this.#holding;
		if (!holding) {
			return false;
		}

		if (!record.owner || !isSameProcess(record.owner, this.#self)) {
			this.#holding = undefined;
			return true;
		}

		if (holding.claim !== record.claim) {
			this.#lapse(nowMs);
		}

		// Another instance promotes an owner when it knows that the predecessor has ended; the claim stays the same.
		if (!previous || stageOf(previous) !== stageOf(record)) {
			holding.stageSinceMs = nowMs;
		}

		return false;
	}

	/** Records that a call which was sent at `sentAtMs` (monotonic time, in milliseconds) has confirmed the registration. */
	confirmRegistration({sentAtMs, nowMs}: {readonly sentAtMs: number; readonly nowMs: number}): void {
		const holding = this.#holding;
		if (!this.isRegistered(nowMs)) {
			this.#lapse(nowMs);
			this.#registration += 1;
		}

		this.#registeredUntilMs = Math.max(this.#registeredUntilMs, sentAtMs + REGISTERED_MS);
		if (holding && holding.lapsedAtMs === undefined && this.#known && sentAtMs >= holding.stageSinceMs + DURABLE_MS) {
			holding.durableStage = stageOf(this.#known.record);
		}
	}

	/** Records that the registration of this instance was lost. */
	loseRegistration(nowMs: number): void {
		this.#lapse(nowMs);
		this.#registeredUntilMs = Number.NEGATIVE_INFINITY;
		this.#registration += 1;
	}

	/** Records that this process reads the store for the first time in a later era than the first, so that the store may have returned shortly before. */
	recordLaterEra(nowMs: number): void {
		this.#settledAtMs = nowMs + RETURN_MS;
	}

	/** Records that the store has returned from an older copy: what was read of it is void. */
	recordReturn(nowMs: number): void {
		this.loseRegistration(nowMs);
		this.#known = undefined;
		if (this.#holding) {
			this.#holding.claim = undefined;
		}

		this.recordLaterEra(nowMs);
	}

	/** Records that the process was suspended, perhaps for longer than its claim lasts. */
	recordSuspension(): void {
		this.#holding = undefined;
		this.#registeredUntilMs = Number.NEGATIVE_INFINITY;
		this.#registration += 1;
	}

	/** Share of the shard that this instance may use, from 0 to 1. */
	share(nowMs: number): number {
		const holding = this.#holding;
		if (!holding) {
			return 0;
		}

		this.#lapseIfDue(nowMs);
		const cutOffShare = cutOffShares[holding.durableStage];
		if (holding.lapsedAtMs !== undefined) {
			return nowMs < holding.lapsedAtMs + CUT_OFF_MS ? cutOffShare : 0;
		}

		const share = this.#known ? shareOfStage[stageOf(this.#known.record)] : 0;
		return nowMs < this.#settledAtMs ? Math.min(share, holding.isContinued ? cutOffShare : 0) : share;
	}

	/** Whether the registration of this instance certainly exists. */
	isRegistered(nowMs: number): boolean {
		return nowMs < this.#registeredUntilMs;
	}

	/** The write that this instance is to make about its own share or as an ended predecessor; undefined: none. */
	prepareOwnWrite(nowMs: number): ShardWrite | undefined {
		if (!this.#known || !this.isRegistered(nowMs)) {
			return undefined;
		}

		const {record} = this.#known;
		if (record.owner?.id === this.#self.id) {
			return this.#writeAsOwner({record, nowMs});
		}

		const ended = record.owner && endingOf({record, self: this.#self});
		return ended && this.#toWrite(ended);
	}

	/** The write with which this instance claims a shard that is free. */
	prepareClaim(): ShardWrite {
		return this.#toWrite(claimOf({record: this.#known?.record, self: this.#self}));
	}

	/** Stops using the shard; returns the write that releases it, undefined when this instance does not hold it. */
	release(): ShardWrite | undefined {
		const isHeld = this.#holding !== undefined;
		this.#holding = undefined;
		return isHeld && this.#known ? this.#toWrite(releaseOf(this.#known.record)) : undefined;
	}

	/** Applies a write of this instance that the store has confirmed. */
	applyWrite({record, index, registration, nowMs}: ApplyWriteOptions): void {
		if (this.#known && index < this.#known.index) {
			return;
		}

		this.#known = {record, index};
		if (!record.owner || !isSameProcess(record.owner, this.#self)) {
			this.#holding = undefined;
			return;
		}

		if (this.#holding?.claim === record.claim) {
			this.#holding.stageSinceMs = nowMs;
			return;
		}

		const held = this.#holding;
		this.#generation += 1;
		this.#holding = {
			claim: record.claim,
			durableStage: held?.durableStage ?? 'none',
			stageSinceMs: nowMs,
			claimedAtMs: held?.claimedAtMs ?? nowMs,
			lapsedAtMs: registration === this.#registration && this.isRegistered(nowMs) ? undefined : nowMs,
			isContinued: held !== undefined,
		};
	}

	#toWrite(record: ShardRecord): ShardWrite {
		return {record, expectedIndex: this.#known?.index ?? 0, registration: this.#registration};
	}

	#writeAsOwner({record, nowMs}: {readonly record: ShardRecord; readonly nowMs: number}): ShardWrite | undefined {
		this.#lapseIfDue(nowMs);
		const holding = this.#holding;
		if (!holding || holding.lapsedAtMs !== undefined) {
			return this.#toWrite(claimOf({record, self: this.#self}));
		}

		const isDue = record.predecessors.length > 0 && nowMs - holding.claimedAtMs >= PROMOTION_MS;
		return isDue ? this.#toWrite(promotionOf(record)) : undefined;
	}

	#lapseIfDue(nowMs: number): void {
		if (!this.isRegistered(nowMs)) {
			this.#lapse(nowMs);
		}
	}

	#lapse(nowMs: number): void {
		if (this.#holding) {
			this.#holding.lapsedAtMs ??= Math.min(nowMs, this.#registeredUntilMs === Number.NEGATIVE_INFINITY ? nowMs : this.#registeredUntilMs);
		}
	}
}
