/** Creates and wires the parts that keep the quotas of organisations for all instances together. */
import type {RequestListener} from 'node:http';
import {hashTextToNumber} from '@pomelopick/core.rendezvous';
import {
	createQuotaListener, QuotaClient, QuotaGrants, QuotaPermits, QuotaUse,
} from '@pomelopick/calls.quotas';
import type {KnownQuota, QuotaPermit} from '@pomelopick/calls.quotas';
import type {LiveView} from '@pomelopick/calls.live';
import {UNREADABLE_QUOTA} from '@pomelopick/calls.relay';
import {RefusalLog} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {Organisation, OrganisationName, Refusal} from '@pomelopick/core.types';
import type {QuotaRefusal} from '@pomelopick/steering.quotas';
import {QuotaShards} from './quota-shards.js';
import type {QuotaShardsOptions} from './quota-shards.js';

/** Options of {@link createQuotas}. */
export interface CreateQuotasOptions extends QuotaShardsOptions {
	/** Whether shards are also needed for uploads. */
	readonly hasUploads: () => boolean;
}

/** A permit, or why there is none; undefined: the organisation has no limit. */
export type QuotaDecision = QuotaPermit | Refusal | undefined;

/** The parts that are used from outside. */
export interface QuotaParts {
	/** The shards of this instance. */
	readonly shards: QuotaShards;
	/** Takes a permit for one request of an organisation, asking other instances if necessary. Never rejects. */
	readonly take: (organisation: Organisation) => Promise<QuotaDecision>;
	/** Handles the requests of other instances for permits. */
	readonly handleAsks: RequestListener;
	/** Must be called when another configuration became active. */
	readonly updateConfiguration: () => void;
	readonly stop: () => void;
}

/** Creates the parts. Nothing is sent, written or timed while no organisation has a quota and no route is for uploads. */
export function createQuotas(options: CreateQuotasOptions): QuotaParts {
	const {self, view, counters, log, now} = options;
	const shards = new QuotaShards({
		...options,
		onSuspension() {
			permits.clear();
			options.onSuspension();
		},
	});
	const readClock = (): number => shards.readClock();
	const grants = new QuotaGrants({ownerships: shards.ownerships, findQuota: name => findQuota(view, name), now: readClock});
	const client = new QuotaClient();
	const permits = new QuotaPermits({
		instance: self.id,
		findOwner: shard => shards.findOwner(shard),
		grantOwn: request => grants.grant(request),
		ask: async asked => client.ask(asked),
		offset: hashTextToNumber(self.id),
		counters,
		now: readClock,
	});
	const use = new QuotaUse({counters, log, now});
	return {
		shards,
		take: async ({name}) => takePermit({
			organisation: name, view, permits, use,
		}),
		handleAsks: createAskHandler({
			grants, counters, log, now,
		}),
		updateConfiguration() {
			const isKept = (name: OrganisationName): boolean => typeof view.organisations?.findByName(name)?.quota === 'object';
			grants.retain(isKept);
			permits.retain(isKept);
			if (hasQuota(view) || options.hasUploads()) {
				shards.startClaiming();
			} else {
				shards.stopClaiming();
			}
		},
		stop() {
			shards.stopClaiming();
			client.close();
		},
	};
}

interface TakePermitOptions {
	readonly organisation: OrganisationName;
	readonly view: LiveView;
	readonly permits: QuotaPermits;
	readonly use: QuotaUse;
}

async function takePermit({organisation, view, permits, use}: TakePermitOptions): Promise<QuotaDecision> {
	// The quota may be another than when the request was authenticated. An organisation that is gone is refused by its key.
	const quota = view.organisations?.findByName(organisation)?.quota;
	if (quota === undefined) {
		return undefined;
	}

	if (quota === 'invalid') {
		use.recordRefused({organisation, reason: 'quota-unavailable'});
		return UNREADABLE_QUOTA;
	}

	const taking = permits.take(organisation);
	const outcome = taking instanceof Promise ? await taking : taking;
	if (!('reason' in outcome)) {
		use.recordTaken(organisation);
		return outcome;
	}

	use.recordRefused({organisation, reason: outcome.reason});
	return toRefusal(outcome);
}

interface CreateAskHandlerOptions extends Pick<CreateQuotasOptions, 'counters' | 'log' | 'now'> {
	readonly grants: QuotaGrants;
}

function createAskHandler({grants, counters, log, now}: CreateAskHandlerOptions): RequestListener {
	const refusals = new RefusalLog({log, now});
	return createQuotaListener({
		answer(request) {
			const answer = grants.grant(request);
			counters.add(answer ? 'quota.answered' : 'quota.not-owned');
			return answer;
		},
		onMalformed({code, message}) {
			counters.add(`entry-refused.${code}`);
			refusals.line('quota-request-refused', {subject: code, reason: code, detail: message});
		},
	});
}

function hasQuota({routeSet}: LiveView): boolean {
	return routeSet?.organisations?.some(({quota}) => typeof quota === 'object') ?? false;
}

function findQuota({organisations}: LiveView, name: OrganisationName): KnownQuota {
	const organisation = organisations?.findByName(name);
	return !organisation || organisation.quota === 'invalid' ? 'unknown' : organisation.quota;
}

function toRefusal({reason, retryAfterMs}: QuotaRefusal): Refusal {
	return {
		reason, execution: 'not-run', retryAfterMs, detail: reason === 'quota-exceeded' ? 'the organisation has used up its quota' : 'no instance that keeps the quota of the organisation can be asked',
	};
}
