/** Estimates the load that a change adds to the links between regions. */
import type {ConfigurationSet, RegionName} from '@pomelopick/core.types';
import {linkShareBytesPerSecond} from '@pomelopick/steering.links';

/** Calls of one service that are sent from one region to another because of a change. */
export interface RegionMove {
	readonly service: string;
	readonly from: string;
	readonly to: string;
	readonly callsPerSecond: number;
}

/** Load that a change adds to one direction of a link. */
export interface LinkRow {
	readonly service: string;
	readonly from: string;
	readonly to: string;
	/** Bytes of the responses to the moved calls, by the response size in the service's configuration. */
	readonly addedBytesPerSecond: number;
	/** Share of the link that the service may use; undefined if no link is configured. */
	readonly shareBytesPerSecond: number | undefined;
}

/** Options of {@link listLinkRows}. */
export interface ListLinkRowsOptions {
	readonly set: ConfigurationSet;
	readonly moves: readonly RegionMove[];
}

/** Sums the moves by service and pair of regions, and adds the share of the link that the service may use. */
export function listLinkRows({set, moves}: ListLinkRowsOptions): readonly LinkRow[] {
	const rows = new Map<string, LinkRow>();
	for (const {service: name, from, to, callsPerSecond} of moves) {
		const service = set.services.find(found => found.name === name);
		if (service && callsPerSecond > 0) {
			const key = `${name} ${from} ${to}`;
			const added = (rows.get(key)?.addedBytesPerSecond ?? 0) + (callsPerSecond * service.answerBytes);
			const shareBytesPerSecond = linkShareBytesPerSecond({
				set, service, from: from as RegionName, to: to as RegionName,
			});
			rows.set(key, {
				service: name, from, to, addedBytesPerSecond: Math.round(added), shareBytesPerSecond,
			});
		}
	}

	return [...rows.values()];
}
