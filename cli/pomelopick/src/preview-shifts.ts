/** Estimates the calls that the shifts of a changed set move. */
import type {ConfigurationSet, Shift} from '@pomelopick/core.types';
import type {ServiceUse} from './fleet-use.js';

/** Calls that a shift moves because of a change. */
export interface ShiftMove {
	readonly shift: string;
	readonly service: string;
	readonly from: string;
	readonly to: string;
	readonly callsPerSecond: number;
	/** Slots that these calls occupy, estimated from the calls in progress in the region that they leave; at least 1. */
	readonly slots: number;
}

/** Options of {@link listShiftMoves}. */
export interface ListShiftMovesOptions {
	readonly before: ConfigurationSet;
	readonly after: ConfigurationSet;
	readonly services: readonly ServiceUse[];
}

/**
 * Lists the shifts whose cap increases: each moves the calls of its source region, up to the increase of the cap. A shift that
 * a spill rule names moves no calls by itself.
 */
export function listShiftMoves({before, after, services}: ListShiftMovesOptions): readonly ShiftMove[] {
	return after.shifts.filter(shift => !isNamedBySpillRule({set: after, shift})).flatMap((shift): ShiftMove[] => {
		const {name, service, from, to, capCallsPerSecond} = shift;
		const use = services.find(found => found.service === service && found.region === from);
		const earlierCap = before.shifts.find(other => other.name === name && other.from === from && other.to === to)?.capCallsPerSecond ?? 0;
		const callsPerSecond = Math.min(Math.max(0, capCallsPerSecond - earlierCap), use?.callsPerSecond ?? 0);
		if (!use || callsPerSecond === 0) {
			return [];
		}

		const slots = Math.max(1, Math.ceil(callsPerSecond * use.callsInProgress / use.callsPerSecond));
		return [{
			shift: name, service, from, to, callsPerSecond, slots,
		}];
	});
}

function isNamedBySpillRule({set, shift}: {readonly set: ConfigurationSet; readonly shift: Shift}): boolean {
	return set.spillRules.some(rule => rule.shift === shift.name);
}
