/** Claims parts of the services' retry allowances by compare-and-swap in the store; {@link ALLOWANCE_PARTS} documents how an allowance is divided. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {ALLOWANCE_PARTS} from '@pomelopick/steering.limits';
import {FIRST_ERA} from '@pomelopick/platform.store';
import type {
	KeyValueStore, StoredValue, StoreError, StoreRevision,
} from '@pomelopick/platform.store';
import type {InstanceId, ServiceName} from '@pomelopick/core.types';
import type {RecordReader} from './record-reader.js';

/** Prefix of the keys of all parts. */
export const ALLOWANCE_PREFIX = 'pomelopick/retry-allowance/';
/** Expected number of instances that claim parts at the same time, so that a large fleet stays within the write rate of the store. */
const MAX_CLAIMING_INSTANCES = 50;

/** Why no part was claimed. */
export interface ClaimFailure {
	readonly reason: 'all-in-use' | 'left-to-others' | 'claimed-by-another' | 'store-failed';
	readonly detail: string;
}

/** A claimed part. */
export interface ClaimedPart {
	readonly part: number;
	/** Monotonic time just before the claim was sent, in milliseconds. */
	readonly claimedAtMs: number;
}

/** Options of {@link AllowanceParts}. */
export interface AllowancePartsOptions {
	readonly store: KeyValueStore;
	readonly instance: InstanceId;
	/** Time for which a part must have been unchanged before it may be claimed again, in milliseconds. */
	readonly reuseMs: () => number;
	/** Number of instances in the fleet, as far as this instance has records of them. */
	readonly countInstances: () => number;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
}

interface ObservedPart {
	/** Index of the last write of the part that this instance has observed; 0 for none. */
	readonly modifyIndex: number;
	/** Monotonic time at which this instance first observed that write, or at which its last attempt to claim the part ended, in milliseconds. */
	readonly observedAtMs: number;
}

/** Tracks the parts of all allowances and claims parts for this instance. */
export class AllowanceParts implements RecordReader {
	readonly prefix = ALLOWANCE_PREFIX;
	readonly #options: AllowancePartsOptions;
	readonly #observed = new Map<string, ObservedPart>();
	/** Monotonic time of the store's last return from an older copy, in milliseconds. */
	#returnedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: AllowancePartsOptions) {
		this.#options = options;
	}

	/** Applies a write of a part that the store reported. */
	readonly write = ({key, modifyIndex}: StoredValue): void => {
		if (this.#observed.get(key)?.modifyIndex !== modifyIndex) {
			this.#observed.set(key, {modifyIndex, observedAtMs: this.#options.now()});
		}
	};

	/**
	 * Forgets what was observed, since the store has returned from an older copy. Claims that were made after the copy are missing
	 * from the store and may still be in use, so no part is claimed for the time of reuse.
	 */
	recordReturn(): void {
		this.#observed.clear();
		this.#returnedAtMs = this.#options.now();
	}

	/**
	 * Records the first read of the store. In a later era than the first, the store may have returned shortly before: then claims
	 * that are in use may be missing too.
	 */
	recordFirstRead({era}: Pick<StoreRevision, 'era'>): void {
		if (era > FIRST_ERA) {
			this.recordReturn();
		}
	}

	/** Claims one part of a service's allowance. */
	async claim(service: ServiceName): Promise<Either<ClaimFailure, ClaimedPart>> {
		const {countInstances, random, now} = this.#options;
		if (random() >= MAX_CLAIMING_INSTANCES / countInstances()) {
			return Left({reason: 'left-to-others', detail: `${countInstances()} instances`});
		}

		const available = this.#listFree(service);
		const part = available[Math.floor(random() * available.length)];
		if (part === undefined) {
			return Left({reason: 'all-in-use', detail: `${ALLOWANCE_PARTS} parts`});
		}

		const claimedAtMs = now();
		const claimed = await this.#write({key: partKey({service, part})});
		return claimed.map(() => ({part, claimedAtMs}));
	}

	/** Lists the parts that were never written, or whose last write is so old that its grant can no longer be in use. */
	#listFree(service: ServiceName): readonly number[] {
		const {now, reuseMs} = this.#options;
		const latestMs = now() - reuseMs();
		if (this.#returnedAtMs > latestMs) {
			return [];
		}

		return Array.from({length: ALLOWANCE_PARTS}, (_, part) => part).filter(part => {
			const observed = this.#observed.get(partKey({service, part}));
			return !observed || observed.observedAtMs <= latestMs;
		});
	}

	async #write({key}: {readonly key: string}): Promise<Either<ClaimFailure, void>> {
		const {store, instance, now} = this.#options;
		const expectedIndex = this.#observed.get(key)?.modifyIndex ?? 0;
		const written = await store.compareAndSwapForIndex({key, value: new TextEncoder().encode(JSON.stringify({instance})), expectedIndex}).run();
		const wasUpdatedMeanwhile = (this.#observed.get(key)?.modifyIndex ?? 0) !== expectedIndex;
		if (!wasUpdatedMeanwhile && !isCertainlyUnchanged(written)) {
			this.#observed.set(key, {modifyIndex: written.orDefault(undefined) ?? expectedIndex, observedAtMs: now()});
		}

		return written.mapLeft(toFailure).chain(modifyIndex => modifyIndex === undefined ? Left({reason: 'claimed-by-another', detail: key}) : Right(undefined));
	}
}

function partKey({service, part}: {readonly service: ServiceName; readonly part: number}): string {
	return `${ALLOWANCE_PREFIX}${service}/${part}`;
}

/** Whether it is certain that the claim was not written and that no other instance wrote the part: the store refused the call. */
function isCertainlyUnchanged(written: Either<StoreError, unknown>): boolean {
	return written.swap().map(({code}) => code !== 'undecided').orDefault(false);
}

function toFailure({code, message}: StoreError): ClaimFailure {
	return {reason: 'store-failed', detail: `${code}: ${message}`};
}
