/** Creates the placer, which chooses backend servers for objects. */
import type {LiveView} from '@pomelopick/calls.live';
import type {GatewaySettings} from '@pomelopick/config.settings';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import {ObjectPlacer} from '@pomelopick/steering.objects';
import type {
	LeavingServers, ObservationTable, RequestedPauses, ServerContacts,
} from '@pomelopick/steering.servers';
import type {RateLimitParts} from './create-rate-limits.js';

/** Options of {@link createPlacer}. */
export interface CreatePlacerOptions {
	/** Where this instance runs, and the regions by failure domain. */
	readonly location: Pick<GatewaySettings, 'failureDomain' | 'region' | 'regions'>;
	readonly view: LiveView;
	readonly observations: ObservationTable;
	/** Servers that say that they are leaving. */
	readonly leaving: LeavingServers;
	/** Pauses in requests that servers asked for. */
	readonly pauses: RequestedPauses;
	readonly contacts: ServerContacts;
	readonly permits: RateLimitParts['permits'];
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** Creates the placer. */
export function createPlacer({location: {failureDomain, region, regions}, view, observations, leaving, pauses, contacts, permits, counters, log, random}: CreatePlacerOptions): ObjectPlacer {
	return new ObjectPlacer({
		servers: view.servers,
		observations,
		failureDomain,
		region,
		regions,
		mayTakeRate: options => permits.mayTake(options),
		rateClosedUntilMs: known => permits.closedUntilMs(known),
		unavailableUntilMs: ({server, nowMs}) => leaving.has(server) ? Number.POSITIVE_INFINITY : pauses.endMs({server, nowMs}),
		isUnreachable: server => contacts.isUnreachable(server),
		// Organisations that share the capacity must not depend on the region of their callers.
		spreadsAll: () => view.organisations !== undefined,
		onSharesChanged({service, shares, slots, loads}) {
			counters.add('placement.shares-changed');
			log.line('region-shares', {
				subject: service, shares: formatNumbers(shares), slots: formatNumbers(slots), loads: formatNumbers(loads),
			});
		},
		random,
	});
}

/** Numbers by name with up to three decimals, for a log line. */
function formatNumbers(numbers: ReadonlyMap<string, number>): string {
	return [...numbers].map(([name, number]) => `${name}=${Number(number.toFixed(3))}`).join(' ');
}
