/** Connects the load reports with what an instance observes of the servers. */
import type {ObservationTable} from '@pomelopick/steering.servers';
import type {SharedLoad} from './load-collector.js';

/** Options of {@link listOwnLoads}. */
export interface ListOwnLoadsOptions {
	readonly observations: ObservationTable;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Lists the loads of the servers at which this instance has requests in flight, or which reported a work factor to it recently. */
export function listOwnLoads({observations, nowMs}: ListOwnLoadsOptions): readonly SharedLoad[] {
	return observations.list().flatMap(([server, observed]) => {
		const workFactor = observed.recentWorkFactor(nowMs);
		return observed.inFlight > 0 || workFactor ? [{server, inFlight: observed.inFlight, workFactor}] : [];
	});
}

/** Options of {@link applyLoads}. */
export interface ApplyLoadsOptions {
	readonly observations: ObservationTable;
	/** Sums over all instances. */
	readonly all: readonly SharedLoad[];
	/** Part of this instance in them. */
	readonly own: readonly SharedLoad[];
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Applies the sums over all instances; a server that is not in them has no requests of others. */
export function applyLoads({observations, all, own, nowMs}: ApplyLoadsOptions): void {
	const sums = new Map(all.map(load => [load.server, load]));
	const ownInFlight = new Map(own.map(({server, inFlight}) => [server, inFlight]));
	for (const [server, observed] of observations.list()) {
		const sum = sums.get(server);
		observed.recordShared({othersInFlight: Math.max(0, (sum?.inFlight ?? 0) - (ownInFlight.get(server) ?? 0)), workFactor: sum?.workFactor, nowMs});
	}
}
