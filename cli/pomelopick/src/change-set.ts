/** Changes that the commands make to a published set. Each returns the changed set, or an error if it does not apply. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {
	CodedError, ConfigurationSet, Drain, DrainName, DrainTarget, RegionName, ServiceName, Shift, ShiftName,
} from '@pomelopick/core.types';

/** Applies a change to a configuration set. */
export type ChangeSet = (set: ConfigurationSet) => Either<CodedError, ConfigurationSet>;

/** Adds a drain; without a name, it is named after its target. */
export function addDrain({target, name}: {readonly target: DrainTarget; readonly name?: string}): ChangeSet {
	return set => {
		const existing = set.drains.find(drain => isSameTarget({left: drain.target, right: target}));
		if (existing) {
			return Left({code: 'already-drained', message: `drain ${existing.name} already drains ${target.kind} ${target.name}`});
		}

		const drain: Drain = {name: (name ?? `drain-${target.name}`) as DrainName, target};
		return Right({...set, drains: [...set.drains, drain]});
	};
}

/** Removes the drains with this name, or whose target has this name. */
export function removeDrain(name: string): ChangeSet {
	return set => {
		const kept = set.drains.filter(drain => drain.name !== name && drain.target.name !== name);
		return kept.length === set.drains.length
			? Left({code: 'unknown-name', message: `NAME: expected a drain or its target, one of ${listNames(set.drains)}; found ${JSON.stringify(name)}`})
			: Right({...set, drains: kept});
	};
}

/** Fields of a shift to set; a field that is left out keeps its value. */
export interface ShiftChange {
	readonly name: string;
	readonly service?: string;
	readonly from?: string;
	readonly to?: string;
	readonly capCallsPerSecond?: number;
	readonly rampMs?: number;
}

/** Adds a shift or changes an existing one. */
export function setShift({name, service, from, to, capCallsPerSecond, rampMs}: ShiftChange): ChangeSet {
	return set => {
		const existing = set.shifts.find(shift => shift.name === name);
		const given = {
			service: service as ServiceName | undefined, from: from as RegionName | undefined, to: to as RegionName | undefined, capCallsPerSecond, rampMs,
		};
		const merged = {...existing, ...Object.fromEntries(Object.entries(given).filter(([, value]) => value !== undefined))};
		const missing = (['service', 'from', 'to', 'capCallsPerSecond'] as const).filter(field => merged[field] === undefined);
		if (missing.length > 0) {
			const flags = missing.map(field => field === 'capCallsPerSecond' ? '--cap' : `--${field}`);
			return Left({code: 'bad-flag', message: `${flags.join(', ')}: expected, since no shift is named ${JSON.stringify(name)}`});
		}

		const shift: Shift = {...(merged as Omit<Shift, 'name' | 'rampMs'>), rampMs: merged.rampMs ?? 0, name: name as ShiftName};
		return Right({...set, shifts: existing ? set.shifts.map(other => other === existing ? shift : other) : [...set.shifts, shift]});
	};
}

/** Removes a shift. */
export function removeShift(name: string): ChangeSet {
	return set => {
		const kept = set.shifts.filter(shift => shift.name !== name);
		return kept.length === set.shifts.length
			? Left({code: 'unknown-name', message: `NAME: expected a shift, one of ${listNames(set.shifts)}; found ${JSON.stringify(name)}`})
			: Right({...set, shifts: kept});
	};
}

function isSameTarget({left, right}: {readonly left: DrainTarget; readonly right: DrainTarget}): boolean {
	return left.kind === right.kind && left.name === right.name;
}

function listNames(objects: ReadonlyArray<{readonly name: string}>): string {
	return objects.map(({name}) => name).join(', ') || 'none';
}
