/** Registers the gauges of a gateway, and serves its metrics. */
import type {DecisionLog, ServedCounters} from '@pomelopick/core.telemetry';
import type {ObjectPlacer} from '@pomelopick/steering.objects';
import type {RateLimitParts} from './create-rate-limits.js';
import type {RelayParts} from './create-relay.js';
import type {UploadParts} from './create-uploads.js';
import type {HandleRequest} from './http-listener.js';
import type {OverloadWatch} from './overload-watch.js';
import type {QuotaShards} from './quota-shards.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Options of {@link registerGauges}: the parts whose state the gauges read. */
export interface RegisterGaugesOptions {
	readonly counters: ServedCounters;
	readonly log: Pick<DecisionLog, 'dropped'>;
	readonly relay: Pick<RelayParts, 'handler' | 'uploads' | 'retryBudgets' | 'admissions' | 'placer'>;
	readonly shards: Pick<QuotaShards, 'listShares'>;
	readonly uploads: Pick<UploadParts, 'listReservedBytes'>;
	readonly overload: Pick<OverloadWatch, 'requestLimit' | 'isFull'>;
	readonly rateLimitParts: Pick<RateLimitParts, 'listRates'>;
	/** Time since the store last answered, in milliseconds. */
	readonly viewAgeMs: () => number;
	/** Monotonic time since the process started, in milliseconds. */
	readonly now: () => number;
}

/** Registers the gauges. Their values are read whenever the metrics are fetched. */
export function registerGauges({counters, log, relay, shards, uploads, overload, rateLimitParts, viewAgeMs, now}: RegisterGaugesOptions): void {
	counters.gauge({name: 'uptime_seconds', help: 'Time since the process started.', read: () => now() / MILLISECONDS_PER_SECOND});
	counters.gauge({name: 'requests_in_progress', help: 'Requests in progress.', read: () => relay.handler.inProgress});
	counters.gauge({name: 'held_bytes', help: 'Bytes of bodies that are held for callers and servers.', read: () => relay.handler.heldBytes.reservedBytes});
	counters.gauge({name: 'held_response_bytes', help: 'Bytes of responses among them.', read: () => relay.handler.heldBytes.responseBytes});
	counters.gauge({name: 'held_bytes_max', help: 'Maximum of the bytes of bodies that are held.', read: () => relay.handler.heldBytes.maxBytes});
	counters.gauge({name: 'request_limit', help: 'Maximum number of requests in progress for now.', read: () => overload.requestLimit});
	counters.gauge({name: 'instance_full', help: 'Whether the instance asks callers to connect elsewhere.', read: () => Number(overload.isFull)});
	counters.gauge({name: 'uploads_sending', help: 'Uploads that are being sent to backend servers.', read: () => relay.uploads.count});
	counters.gauge({name: 'view_age_seconds', help: 'Time since the store last answered.', read: () => viewAgeMs() / MILLISECONDS_PER_SECOND});
	counters.gauge({name: 'log_lines_dropped', help: 'Log lines dropped because standard output was not read.', read: () => log.dropped});
	counters.gauges({
		name: 'retries_in_window', help: 'Sends to a further backend server in the window of the retry budget.', label: 'service', read: () => relay.retryBudgets.used(),
	});
	counters.gauges({
		name: 'retries_granted', help: 'Sends to a further backend server that claimed parts of the allowance still allow.', label: 'service', read: () => relay.retryBudgets.granted(),
	});
	counters.gauges({
		name: 'server_rate_limit', help: 'Rate limits that backend servers name, in requests per second.', label: 'server', read: () => rateLimitParts.listRates(),
	});
	counters.gauges({
		name: 'quota_shard_share', help: 'Shares of the quotas\' shards that this instance may use.', label: 'shard', read: () => shards.listShares(),
	});
	counters.gauges({
		name: 'upload_reserved_bytes', help: 'Bytes of uploads that this instance has reserved for all instances.', label: 'server', read: () => uploads.listReservedBytes(),
	});
	counters.gauges({
		name: 'service_pressure', help: 'Shortness of the capacity of a service at this instance, from 0 to 1.', label: 'service', read: () => relay.admissions.pressures(now()),
	});
	counters.gauges({
		name: 'region_share', help: 'Share of this region\'s requests that goes to a region, by service and region.', label: 'target', read: () => listRegionShares(relay.placer),
	});
	counters.gauges({
		name: 'placement_decisions', help: 'Choices of a server that a decision for uneven regions or servers changed, since the start.', label: 'decision', read: () => relay.placer.countDecisions(),
	});
}

/** Creates the handler that responds with all metrics as text. */
export function createMetricsHandler(counters: ServedCounters): HandleRequest {
	return async (_request, response) => {
		const text = await counters.text();
		response.setHeader('content-type', counters.contentType);
		response.end(text);
	};
}

/** Shares of the region's requests, by service and region. */
function listRegionShares(placer: ObjectPlacer): ReadonlyMap<string, number> {
	return new Map([...placer.listRegionShares()].flatMap(([service, shares]) => [...shares].map(([region, share]): [string, number] => [`${service}/${region}`, share])));
}
