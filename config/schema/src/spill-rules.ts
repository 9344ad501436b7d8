/** Checks that a spill rule lists each destination once and that its shift matches its service and regions. */
import type {ConfigurationSet, SpillRule} from '@pomelopick/core.types';
import type {ConfigurationFault} from './fault.js';

/** Reports duplicate destinations, and shifts whose service or regions differ from those of their rule. */
export function checkSpillRules(set: ConfigurationSet): ConfigurationFault[] {
	return set.spillRules.flatMap((rule, index) => [
		...checkDestinations({rule, index}),
		...checkShift({set, rule, index}),
	]);
}

function checkDestinations({rule, index}: {readonly rule: SpillRule; readonly index: number}): ConfigurationFault[] {
	return rule.to.flatMap((region, position) => {
		const first = rule.to.indexOf(region);
		return first === position
			? []
			: [{
				code: 'double-name' as const, path: `spillRules[${index}].to[${position}]`, found: JSON.stringify(region), message: `expected each region once; to[${first}] is the same region`,
			}];
	});
}

function checkShift({set, rule, index}: {readonly set: ConfigurationSet; readonly rule: SpillRule; readonly index: number}): ConfigurationFault[] {
	const shift = set.shifts.find(({name}) => name === rule.shift);
	if (!shift || (shift.service === rule.service && shift.from === rule.from && rule.to.includes(shift.to))) {
		return [];
	}

	return [{
		code: 'mismatched-shift',
		path: `spillRules[${index}].shift`,
		found: JSON.stringify(shift.name),
		message: `expected a shift of ${rule.service} from ${rule.from} to one of ${rule.to.join(', ')}; it is a shift of ${shift.service} from ${shift.from} to ${shift.to}`,
	}];
}
