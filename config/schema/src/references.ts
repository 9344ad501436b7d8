/** Checks that names are unique within each list and that every reference names an existing object. */
import type {ConfigurationSet} from '@pomelopick/core.types';
import type {ConfigurationFault} from './fault.js';

type NamedKind = 'regions' | 'failureDomains' | 'sites' | 'links' | 'services' | 'backendServers' | 'shifts' | 'spillRules' | 'drains';

const namedKinds: readonly NamedKind[] = ['regions', 'failureDomains', 'sites', 'links', 'services', 'backendServers', 'shifts', 'spillRules', 'drains'];

interface Reference {
	readonly path: string;
	readonly kind: NamedKind;
	readonly name: string;
}

/** Reports duplicate names (`double-name`) and references to unknown names (`unknown-name`). */
export function checkReferences(set: ConfigurationSet): ConfigurationFault[] {
	return [...namedKinds.flatMap(kind => findDuplicateNames({set, kind})), ...findUnknownNames(set)];
}

function findDuplicateNames({set, kind}: {readonly set: ConfigurationSet; readonly kind: NamedKind}): ConfigurationFault[] {
	const firstIndex = new Map<string, number>();
	const faults: ConfigurationFault[] = [];
	for (const [index, {name}] of set[kind].entries()) {
		const first = firstIndex.get(name);
		if (first === undefined) {
			firstIndex.set(name, index);
		} else {
			faults.push({
				code: 'double-name', path: `${kind}[${index}].name`, found: JSON.stringify(name), message: `expected a unique name; ${kind}[${first}] has the same name`,
			});
		}
	}

	return faults;
}

function findUnknownNames(set: ConfigurationSet): ConfigurationFault[] {
	const names = new Map(namedKinds.map(kind => [kind, new Set<string>(set[kind].map(object => object.name))]));
	return listReferences(set)
		.filter(({kind, name}) => !names.get(kind)?.has(name))
		.map(({path, kind, name}) => ({
			code: 'unknown-name', path, found: JSON.stringify(name), message: `expected the name of an object in ${kind}`,
		}));
}

const kindByDrainTarget = {backendServer: 'backendServers', site: 'sites', failureDomain: 'failureDomains'} as const;

function listReferences(set: ConfigurationSet): Reference[] {
	return [
		...set.failureDomains.map((object, index): Reference => ({path: `failureDomains[${index}].region`, kind: 'regions', name: object.region})),
		...set.sites.map((object, index): Reference => ({path: `sites[${index}].failureDomain`, kind: 'failureDomains', name: object.failureDomain})),
		...set.links.flatMap((object, index) => object.between.map((name, end): Reference => ({path: `links[${index}].between[${end}]`, kind: 'regions', name}))),
		...set.backendServers.flatMap((object, index): Reference[] => [
			{path: `backendServers[${index}].service`, kind: 'services', name: object.service},
			{path: `backendServers[${index}].site`, kind: 'sites', name: object.site},
		]),
		...set.shifts.flatMap((object, index): Reference[] => [
			{path: `shifts[${index}].service`, kind: 'services', name: object.service},
			{path: `shifts[${index}].from`, kind: 'regions', name: object.from},
			{path: `shifts[${index}].to`, kind: 'regions', name: object.to},
		]),
		...set.spillRules.flatMap((object, index): Reference[] => [
			{path: `spillRules[${index}].service`, kind: 'services', name: object.service},
			{path: `spillRules[${index}].from`, kind: 'regions', name: object.from},
			...object.to.map((name, position): Reference => ({path: `spillRules[${index}].to[${position}]`, kind: 'regions', name})),
			...(object.shift ? [{path: `spillRules[${index}].shift`, kind: 'shifts' as const, name: object.shift}] : []),
		]),
		...set.drains.map((object, index): Reference => ({path: `drains[${index}].target.name`, kind: kindByDrainTarget[object.target.kind], name: object.target.name})),
		...Array.from(set.clientBlocks, (object, index): Reference => ({path: `clientBlocks[${index}].site`, kind: 'sites', name: object.site})),
	];
}
