/** What parts of an instance show of their state to operators. A part that is not there is left out. */
import type {
	BackendServerName, QuarantineReport, ServiceName, ShiftName, StoreReport,
} from '@pomelopick/core.types';

/** Slots of a service's backend servers in use by the whole fleet, as this instance knows them. */
export type ListSlotsInUse = (options: {readonly service: ServiceName}) => ReadonlyMap<BackendServerName, number>;

/** Calls per second under each shift over the last seconds, as this instance knows them. */
export type ListShiftUse = () => ReadonlyMap<ShiftName, number>;

/** Functions that take snapshots; each is called once per operator's request. */
export interface ExplainSources {
	/** Calls that this instance has in progress at each backend server. */
	readonly listCallsInProgress: () => ReadonlyMap<BackendServerName, number>;
	readonly listSlotsInUse?: ListSlotsInUse;
	readonly listShiftUse?: ListShiftUse;
	readonly listQuarantines?: () => readonly QuarantineReport[];
	readonly storeState: () => StoreReport;
}
