/** State of an instance's parts that is shown to operators. Functions of parts that the instance does not have are absent. */
import type {
	BackendServerName, QuarantineReport, RegionName, ServiceName, ShiftName, StoreReport,
} from '@pomelopick/core.types';
import type {GroupSnapshot} from '@pomelopick/calls.placement';
import type {DrainTiming} from './drain-times.js';

/** Returns the placement's view of the slots of a service in a region. */
export type ReadSlots = (options: {readonly service: ServiceName; readonly region: RegionName}) => GroupSnapshot;

/** Returns the calls per second under each shift over the last seconds, as known by this instance. */
export type ListShiftUse = () => ReadonlyMap<ShiftName, number>;

/** Functions that return snapshots. Each is called once for each operator request. */
export interface ExplainSources {
	/** Calls that this instance has in progress at each backend server. */
	readonly listCallsInProgress: () => ReadonlyMap<BackendServerName, number>;
	/** Calls that this instance placed at each backend server since it started. */
	readonly listCallsPlaced: () => ReadonlyMap<BackendServerName, number>;
	readonly readSlots?: ReadSlots;
	readonly listShiftUse?: ListShiftUse;
	/** Times of a drain at this instance; undefined when it is not active here. */
	readonly drainTiming?: (name: string) => DrainTiming | undefined;
	readonly listQuarantines?: () => readonly QuarantineReport[];
	readonly storeState: () => StoreReport;
}
