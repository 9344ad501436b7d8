/** Grants permits of the shards that this instance owns. */
import type {OrganisationName, OrganisationQuota} from '@pomelopick/core.types';
import {QuotaBuckets, shards} from '@pomelopick/steering.quotas';
import type {ShardOwnership} from '@pomelopick/steering.quotas';
import type {QuotaAnswer, QuotaGrant, QuotaRequest} from './quota-messages.js';

/** Time after which to ask again about an organisation whose quota is not known here, in milliseconds: its configuration is on its way. */
const UNKNOWN_RETRY_MS = 300;

/** Quota of an organisation in the active configuration. `unknown`: it has no such organisation, or its quota could not be read; undefined: no limit. */
export type KnownQuota = OrganisationQuota | 'unknown' | undefined;

/** Options of {@link QuotaGrants}. */
export interface QuotaGrantsOptions {
	readonly ownerships: readonly ShardOwnership[];
	readonly findQuota: (organisation: OrganisationName) => KnownQuota;
	/** Monotonic time, in milliseconds, read after a suspension was detected. */
	readonly now: () => number;
}

/** Grants permits from token buckets, in proportion to the share of each shard that this instance may use. */
export class QuotaGrants {
	readonly #options: QuotaGrantsOptions;
	readonly #buckets = shards.map(() => new QuotaBuckets());

	constructor(options: QuotaGrantsOptions) {
		this.#options = options;
	}

	/** Grants permits; undefined when this instance may not use the shard. */
	grant({instance, shard, asks}: QuotaRequest): QuotaAnswer | undefined {
		const {ownerships, findQuota, now} = this.#options;
		const nowMs = now();
		const ownership = ownerships[shard]!;
		const share = ownership.share(nowMs);
		if (share === 0) {
			return undefined;
		}

		const {generation, usableSinceMs} = ownership;
		const grants = asks.map(({organisation, permits}): QuotaGrant => {
			const quota = findQuota(organisation);
			if (quota === 'unknown') {
				return {organisation, permits: 0, retryAfterMs: UNKNOWN_RETRY_MS};
			}

			if (quota === undefined) {
				return {organisation, permits, retryAfterMs: 0};
			}

			const taken = this.#buckets[shard]!.take({
				organisation, quota, permits, share, generation, usableSinceMs, asker: instance, nowMs,
			});
			return {organisation, ...taken};
		});
		return {grants};
	}

	/** Removes what is known about organisations that have no quota any more. */
	retain(isKept: (organisation: OrganisationName) => boolean): void {
		const nowMs = this.#options.now();
		for (const buckets of this.#buckets) {
			buckets.retain({isKept, nowMs});
		}
	}
}
