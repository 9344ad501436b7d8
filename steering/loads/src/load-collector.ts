/**
 * Adds up the requests that several instances have in flight at each backend server.
 *
 * Responds to servers whose load no single instance knows: with many instances, each hears from a server only every few
 * seconds, while its queue fills and empties within one. Reports are replaced as a whole and expire, so that a lost message
 * or an instance that ends leaves nothing behind.
 */
import type {BackendServerName} from '@pomelopick/core.types';
import type {ServiceDemand} from './service-demand.js';

/** Time for which a report counts, in milliseconds: three intervals between reports, so that a single lost one changes nothing. */
export const REPORT_LIFETIME_MS = 1500;

/** Work factor that a server reported. */
export interface WorkFactorReport {
	/** Time that work takes as a multiple of the usual time. */
	readonly factor: number;
	/** Age of the report, in milliseconds. */
	readonly ageMs: number;
}

/** Load of one server. */
export interface SharedLoad {
	readonly server: BackendServerName;
	/** Requests in flight at the server. */
	readonly inFlight: number;
	/** Newest work factor that the server reported; undefined: none that is recent. */
	readonly workFactor: WorkFactorReport | undefined;
}

interface Report {
	readonly loads: readonly SharedLoad[];
	readonly demand: readonly ServiceDemand[];
	/** Monotonic time, in milliseconds. */
	readonly receivedAtMs: number;
}

/** Options of {@link LoadCollector.record}. */
export interface RecordLoadsOptions<Source extends string> {
	/** Instance or region that reports. */
	readonly source: Source;
	/** Loads of all servers at which the source has requests, or whose work factor it knows. */
	readonly loads: readonly SharedLoad[];
	/** Demand that the source measures; empty where it measures none, and from instances of older builds. */
	readonly demand: readonly ServiceDemand[];
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Keeps the newest report of each source. */
export class LoadCollector<Source extends string> {
	readonly #reports = new Map<Source, Report>();

	/** Replaces the report of a source. */
	record({source, loads, demand, nowMs}: RecordLoadsOptions<Source>): void {
		this.#reports.set(source, {loads, demand, receivedAtMs: nowMs});
	}

	/** Whether any report counts. */
	hasReports(nowMs: number): boolean {
		this.#removeExpired(nowMs);
		return this.#reports.size > 0;
	}

	/** Lists the loads of all sources whose reports count. */
	list(nowMs: number): readonly SharedLoad[] {
		this.#removeExpired(nowMs);
		return [...this.#reports.values()].flatMap(({loads, receivedAtMs}) => loads.map(load => withGreaterAge({load, byMs: nowMs - receivedAtMs})));
	}

	/** Lists the demands of all sources whose reports count. */
	listDemands(nowMs: number): readonly ServiceDemand[] {
		this.#removeExpired(nowMs);
		return [...this.#reports.values()].flatMap(({demand}) => demand);
	}

	#removeExpired(nowMs: number): void {
		for (const [source, {receivedAtMs}] of this.#reports) {
			if (nowMs - receivedAtMs >= REPORT_LIFETIME_MS) {
				this.#reports.delete(source);
			}
		}
	}
}

/** Adds up loads by server; of several work factors the newest counts. */
export function addLoads(loads: readonly SharedLoad[]): readonly SharedLoad[] {
	const sums = new Map<BackendServerName, SharedLoad>();
	for (const load of loads) {
		const sum = sums.get(load.server);
		sums.set(load.server, sum ? {server: load.server, inFlight: sum.inFlight + load.inFlight, workFactor: newerOf(sum.workFactor, load.workFactor)} : load);
	}

	return [...sums.values()];
}

function newerOf(left: WorkFactorReport | undefined, right: WorkFactorReport | undefined): WorkFactorReport | undefined {
	if (!left || !right) {
		return left ?? right;
	}

	return right.ageMs < left.ageMs ? right : left;
}

/** Adds a time to the age of the work factor. */
function withGreaterAge({load, byMs}: {readonly load: SharedLoad; readonly byMs: number}): SharedLoad {
	return load.workFactor ? {...load, workFactor: {...load.workFactor, ageMs: load.workFactor.ageMs + byMs}} : load;
}
