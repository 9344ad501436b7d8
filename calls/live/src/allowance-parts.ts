/** Claims parts of the services' retry allowances by writes to the store ({@link ALLOWANCE_PARTS} says how they are divided). */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {ALLOWANCE_PARTS} from '@pomelopick/steering.limits';
import type {KeyValueStore, StoredValue, StoreError} from '@pomelopick/platform.store';
import type {InstanceId, ServiceName} from '@pomelopick/core.types';
import type {RecordReader} from './record-reader.js';

/** Prefix of the keys of all parts. */
export const ALLOWANCE_PREFIX = 'pomelopick/retry-allowance/';
/** Instances that may claim parts at once, so that a large fleet does not use up the store's rate of writes. */
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
	/** Time for which a part must have been seen unchanged before it is claimed again, in milliseconds. */
	readonly reuseMs: () => number;
	/** Instances of the fleet, as far as this one knows. */
	readonly countInstances: () => number;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

interface ObservedPart {
	/** Index of its last write that this instance knows of; 0 for none. */
	readonly modifyIndex: number;
	/** Monotonic time at which this instance first knew of that write, or last failed to claim the part, in milliseconds. */
	readonly observedAtMs: number;
}

/** The parts as this instance has seen them. */
export class AllowanceParts implements RecordReader {
	readonly prefix = ALLOWANCE_PREFIX;
	readonly #options: AllowancePartsOptions;
	readonly #observed = new Map<string, ObservedPart>();

	constructor(options: AllowancePartsOptions) {
		this.#options = options;
	}

	/** Takes what the store says of a part. */
	readonly write = ({key, modifyIndex}: StoredValue): void => {
		if (this.#observed.get(key)?.modifyIndex !== modifyIndex) {
			this.#observed.set(key, {modifyIndex, observedAtMs: this.#options.now()});
		}
	};

	/** Claims one part of a service's allowance. */
	async claim(service: ServiceName): Promise<Either<ClaimFailure, ClaimedPart>> {
		const {countInstances, random, now} = this.#options;
		if (random() >= MAX_CLAIMING_INSTANCES / countInstances()) {
			return Left({reason: 'left-to-others', detail: `${countInstances()} instances`});
		}

		const free = this.#listFree(service);
		const part = free[Math.floor(random() * free.length)];
		if (part === undefined) {
			return Left({reason: 'all-in-use', detail: `${ALLOWANCE_PARTS} parts`});
		}

		const claimedAtMs = now();
		const claimed = await this.#write({key: partKey({service, part})});
		return claimed.map(() => ({part, claimedAtMs}));
	}

	/** Parts that were never written, or not for so long that the last use of them is over. */
	#listFree(service: ServiceName): readonly number[] {
		const {now, reuseMs} = this.#options;
		const latestMs = now() - reuseMs();
		return Array.from({length: ALLOWANCE_PARTS}, (_, part) => part).filter(part => {
			const seen = this.#observed.get(partKey({service, part}));
			return !seen || seen.observedAtMs <= latestMs;
		});
	}

	async #write({key}: {readonly key: string}): Promise<Either<ClaimFailure, void>> {
		const {store, instance, now} = this.#options;
		const expectedIndex = this.#observed.get(key)?.modifyIndex ?? 0;
		const written = await store.compareAndSwapForIndex({key, value: new TextEncoder().encode(JSON.stringify({instance})), expectedIndex}).run();
		const isTold = (this.#observed.get(key)?.modifyIndex ?? 0) !== expectedIndex;
		if (!isTold && !isCertainlyUnchanged(written)) {
			this.#observed.set(key, {modifyIndex: written.orDefault(undefined) ?? expectedIndex, observedAtMs: now()});
		}

		return written.mapLeft(toFailure).chain(found => found === undefined ? Left({reason: 'claimed-by-another', detail: key}) : Right(undefined));
	}
}

function partKey({service, part}: {readonly service: ServiceName; readonly part: number}): string {
	return `${ALLOWANCE_PREFIX}${service}/${part}`;
}

/** Whether it is certain that a claim did not take effect and that nobody else wrote the part. */
function isCertainlyUnchanged(written: Either<StoreError, unknown>): boolean {
	return written.swap().map(({code}) => code !== 'undecided').orDefault(false);
}

function toFailure({code, message}: StoreError): ClaimFailure {
	return {reason: 'store-failed', detail: `${code}: ${message}`};
}
