/** Checks rules that involve several objects: caps of shifts, loops of shifts, client blocks and server addresses. */
import ipaddr from 'ipaddr.js';
import type {ConfigurationSet, Shift} from '@pomelopick/core.types';
import type {ConfigurationFault} from './fault.js';
import {isMappedIpv4, parsePrefix} from './prefix.js';
import {checkSpillRules} from './spill-rules.js';

/** Shortest time in which a slot is assumed to complete a call, in milliseconds; it limits the cap that a shift may have. */
const MIN_CALL_MS = 1;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;

/** Reports links, shifts and spill rules from a region to itself, impossible caps, loops, duplicate or malformed client blocks, duplicate endpoints and other faults of spill rules. */
export function checkRules(set: ConfigurationSet): ConfigurationFault[] {
	return [
		...checkSameRegion(set),
		...checkCaps(set),
		...checkShiftLoops(set),
		...checkClientBlocks(set),
		...checkAddresses(set),
		...checkSpillRules(set),
	];
}

function checkSameRegion(set: ConfigurationSet): ConfigurationFault[] {
	const links = set.links.flatMap((link, index) => link.between[0] === link.between[1]
		? [createSameRegionFault({path: `links[${index}].between`, found: link.between[0]})]
		: []);
	const shifts = set.shifts.flatMap((shift, index) => shift.from === shift.to
		? [createSameRegionFault({path: `shifts[${index}].to`, found: shift.to})]
		: []);
	const rules = set.spillRules.flatMap((rule, index) => rule.to.flatMap((to, position) => to === rule.from
		? [createSameRegionFault({path: `spillRules[${index}].to[${position}]`, found: to})]
		: []));
	return [...links, ...shifts, ...rules];
}

function createSameRegionFault({path, found}: {readonly path: string; readonly found: string}): ConfigurationFault {
	return {
		code: 'same-region', path, found: JSON.stringify(found), message: 'expected two different regions',
	};
}

function checkCaps(set: ConfigurationSet): ConfigurationFault[] {
	return set.shifts.flatMap((shift, index) => {
		const path = `shifts[${index}].capCallsPerSecond`;
		const found = String(shift.capCallsPerSecond);
		const maximum = maxCallsPerSecond({set, shift});
		if (shift.capCallsPerSecond > maximum.byServers) {
			return [{
				code: 'impossible-cap' as const, path, found, message: `expected at most ${maximum.byServers}, what the slots of ${shift.service} in ${shift.to} can finish`,
			}];
		}

		if (shift.capCallsPerSecond > maximum.byLink) {
			return [{
				code: 'impossible-cap' as const, path, found, message: `expected at most ${maximum.byLink}, what the links from ${shift.from} to ${shift.to} can carry`,
			}];
		}

		return [];
	});
}

function maxCallsPerSecond({set, shift}: {readonly set: ConfigurationSet; readonly shift: Shift}): {byServers: number; byLink: number} {
	const failureDomains = new Set(set.failureDomains.filter(domain => domain.region === shift.to).map(domain => domain.name));
	const sites = new Set(set.sites.filter(site => failureDomains.has(site.failureDomain)).map(site => site.name));
	const slots = set.backendServers
		.filter(server => server.service === shift.service && sites.has(server.site))
		.reduce((sum, server) => sum + server.slots, 0);
	const answerBytes = set.services.find(service => service.name === shift.service)?.answerBytes ?? 0;
	const links = set.links.filter(link => link.between.includes(shift.from) && link.between.includes(shift.to));
	const bitsPerSecond = links.reduce((sum, link) => sum + (link.megabitsPerSecond * BITS_PER_MEGABIT), 0);
	return {
		byServers: slots * 1000 / MIN_CALL_MS,
		byLink: links.length === 0 || answerBytes === 0 ? Number.POSITIVE_INFINITY : Math.floor(bitsPerSecond / (answerBytes * BITS_PER_BYTE)),
	};
}

function checkShiftLoops(set: ConfigurationSet): ConfigurationFault[] {
	return set.shifts.flatMap((shift, index) => {
		const reached = findReachableRegions({shifts: set.shifts.filter(other => other.service === shift.service), from: shift.to});
		return reached.has(shift.from)
			? [{
				code: 'loop' as const, path: `shifts[${index}]`, found: JSON.stringify(shift.name), message: `expected shifts of ${shift.service} that do not lead back to ${shift.from}`,
			}]
			: [];
	});
}

function findReachableRegions({shifts, from}: {readonly shifts: readonly Shift[]; readonly from: string}): Set<string> {
	const reached = new Set([from]);
	const pending = [from];
	for (let region = pending.pop(); region !== undefined; region = pending.pop()) {
		for (const shift of shifts) {
			if (shift.from === region && !reached.has(shift.to)) {
				reached.add(shift.to);
				pending.push(shift.to);
			}
		}
	}

	return reached;
}

function checkClientBlocks(set: ConfigurationSet): ConfigurationFault[] {
	const firstIndex = new Map<string, number>();
	const faults: ConfigurationFault[] = [];
	for (const [index, {prefix}] of [...set.clientBlocks].entries()) {
		const {family, bytes, bits, hasHostBits} = parsePrefix(prefix);
		const path = `clientBlocks[${index}].prefix`;
		if (hasHostBits) {
			faults.push({
				code: 'bad-block', path, found: JSON.stringify(prefix), message: 'expected all address bits after the prefix length to be zero',
			});
		}

		if (isMappedIpv4({family, bytes, bits})) {
			faults.push({
				code: 'bad-block', path, found: JSON.stringify(prefix), message: 'expected an IPv4 prefix instead of an IPv4-mapped IPv6 prefix, since callers are looked up by their IPv4 address',
			});
		}

		const key = `${family}/${bytes.join('.')}/${bits}`;
		const first = firstIndex.get(key);
		if (first === undefined) {
			firstIndex.set(key, index);
		} else {
			faults.push({
				code: 'overlapping-block', path, found: JSON.stringify(prefix), message: `expected a unique prefix; clientBlocks[${first}] has the same prefix`,
			});
		}
	}

	return faults;
}

function checkAddresses(set: ConfigurationSet): ConfigurationFault[] {
	const firstIndex = new Map<string, number>();
	return set.backendServers.flatMap(({address, port}, index) => {
		const key = `${ipaddr.parse(address).toNormalizedString()} port ${port}`;
		const first = firstIndex.get(key);
		if (first === undefined) {
			firstIndex.set(key, index);
			return [];
		}

		return [{
			code: 'address-in-use' as const, path: `backendServers[${index}].port`, found: key, message: `expected a unique endpoint; backendServers[${first}] has the same endpoint`,
		}];
	});
}
