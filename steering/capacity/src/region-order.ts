/** Lists the regions that a call may go to, in order of preference. */
import type {
	ConfigurationSet, RegionName, ServiceName, Shift,
} from '@pomelopick/core.types';

/** A region that a call may go to, and the shift whose cap limits this. */
export interface RegionChoice {
	readonly region: RegionName;
	readonly shift: Shift | undefined;
	/** `shift`: a shift of the operators moves calls there. `home`: the call's own region. `spill`: only while the home region has no free capacity. */
	readonly kind: 'shift' | 'home' | 'spill';
}

/** Options of {@link listRegionChoices}. */
export interface ListRegionChoicesOptions {
	readonly set: ConfigurationSet;
	readonly service: ServiceName;
	readonly home: RegionName;
}

/**
 * Regions for a call, best first: targets of shifts, the home region, then the regions of its spill rules.
 *
 * A shift that a spill rule names only caps the calls of that rule and moves no calls by itself. All calls between the
 * two regions of a shift count against its cap, including spilled calls.
 */
export function listRegionChoices({set, service, home}: ListRegionChoicesOptions): readonly RegionChoice[] {
	const rules = set.spillRules.filter(rule => rule.service === service && rule.from === home);
	const ruleShifts = new Set(set.spillRules.map(({shift}) => shift));
	const shifts = set.shifts.filter(shift => shift.service === service && shift.from === home);
	const moved = shifts.filter(({name}) => !ruleShifts.has(name));
	const spill = rules.flatMap(({to}) => to).filter(region => region !== home && !moved.some(({to}) => to === region));
	return [
		...moved.map((shift): RegionChoice => ({region: shift.to, shift, kind: 'shift'})),
		{region: home, shift: undefined, kind: 'home'},
		...[...new Set(spill)].map((region): RegionChoice => ({region, shift: shifts.find(({to}) => to === region), kind: 'spill'})),
	];
}
