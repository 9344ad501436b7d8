/** What parts of an instance show of their state to operators. A part that is not there is left out. */
import type {
	BackendServerName, QuarantineReport, RegionName, ServiceName, ShiftName, StoreReport,
} from '@pomelopick/core.types';
import type {GroupSnapshot} from '@pomelopick/calls.placement';
import type {DrainTiming} from './drain-times.js';

/** What the placement knows of the slots of a service in a region. */
export type ReadSlots = (options: {readonly service: ServiceName; readonly region: RegionName}) => GroupSnapshot;

/** Calls per second under each shift over the last seconds, as this instance knows them. */
export type ListShiftUse = () => ReadonlyMap<ShiftName, number>;

/** Functions that take snapshots; each is called once per operator's request. */
export interface ExplainSources {
	/** Calls that this instance has in progress at each backend server. */
	readonly listCallsInProgress: () => ReadonlyMap<BackendServerName, number>;
	/** Calls that this instance placed at each backend server since it started. */
	readonly listCallsPlaced: () => ReadonlyMap<BackendServerName, number>;
	readonly readSlots?: ReadSlots;
	readonly listShiftUse?: ListShiftUse;
	/** Times of a drain at this instance; undefined when it is not in force here. */
	readonly drainTiming?: (name: string) => DrainTiming | undefined;
	readonly listQuarantines?: () => readonly QuarantineReport[];
	readonly storeState: () => StoreReport;
}
