/** Checks rules that span several objects: caps, loops, client blocks, addresses. */
import ipaddr from 'ipaddr.js';
import type {ConfigurationSet, Shift} from '@pomelopick/core.types';
import type {ConfigurationFault} from './fault.js';
import {isMappedIpv4, parsePrefix} from './prefix.js';
import {checkSpillRules} from './spill-rules.js';

/** Fastest that a slot is assumed to finish a call, in milliseconds; bounds what a cap can ask for. */
const SHORTEST_CALL_MS = 1;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;

/** Reports impossible caps, loops, overlapping or malformed blocks and addresses used twice. */
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
		? [sameRegion({path: `links[${index}].between`, found: link.between[0]})]
		: []);
	const shifts = set.shifts.flatMap((shift, index) => shift.from === shift.to
		? [sameRegion({path: `shifts[${index}].to`, found: shift.to})]
		: []);
	const rules = set.spillRules.flatMap((rule, index) => rule.to.flatMap((to, position) => to === rule.from
		? [sameRegion({path: `spillRules[${index}].to[${position}]`, found: to})]
		: []));
	return [...links, ...shifts, ...rules];
}

function sameRegion({path, found}: {readonly path: string; readonly found: string}): ConfigurationFault {
	return {
		code: 'same-region', path, found: JSON.stringify(found), message: 'expected two different regions',
	};
}

function checkCaps(set: ConfigurationSet): ConfigurationFault[] {
	return set.shifts.flatMap((shift, index) => {
		const path = `shifts[${index}].capCallsPerSecond`;
		const found = String(shift.capCallsPerSecond);
		const most = mostCallsPerSecond({set, shift});
		if (shift.capCallsPerSecond > most.byServers) {
			return [{
				code: 'impossible-cap' as const, path, found, message: `expected at most ${most.byServers}, what the slots of ${shift.service} in ${shift.to} can finish`,
			}];
		}

		if (shift.capCallsPerSecond > most.byLink) {
			return [{
				code: 'impossible-cap' as const, path, found, message: `expected at most ${most.byLink}, what the links from ${shift.from} to ${shift.to} can carry`,
			}];
		}

		return [];
	});
}

function mostCallsPerSecond({set, shift}: {readonly set: ConfigurationSet; readonly shift: Shift}): {byServers: number; byLink: number} {
	const domains = new Set(set.failureDomains.filter(domain => domain.region === shift.to).map(domain => domain.name));
	const sites = new Set(set.sites.filter(site => domains.has(site.failureDomain)).map(site => site.name));
	const slots = set.backendServers
		.filter(server => server.service === shift.service && sites.has(server.site))
		.reduce((sum, server) => sum + server.slots, 0);
	const answerBytes = set.services.find(service => service.name === shift.service)?.answerBytes ?? 0;
	const links = set.links.filter(link => link.between.includes(shift.from) && link.between.includes(shift.to));
	const bitsPerSecond = links.reduce((sum, link) => sum + (link.megabitsPerSecond * BITS_PER_MEGABIT), 0);
	return {
		byServers: slots * 1000 / SHORTEST_CALL_MS,
		byLink: links.length === 0 || answerBytes === 0 ? Number.POSITIVE_INFINITY : Math.floor(bitsPerSecond / (answerBytes * BITS_PER_BYTE)),
	};
}

function checkShiftLoops(set: ConfigurationSet): ConfigurationFault[] {
	return set.shifts.flatMap((shift, index) => {
		const reached = reachableRegions({shifts: set.shifts.filter(other => other.service === shift.service), from: shift.to});
		return reached.has(shift.from)
			? [{
				code: 'loop' as const, path: `shifts[${index}]`, found: JSON.stringify(shift.name), message: `expected shifts of ${shift.service} that do not lead back to ${shift.from}`,
			}]
			: [];
	});
}

function reachableRegions({shifts, from}: {readonly shifts: readonly Shift[]; readonly from: string}): Set<string> {
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
				code: 'bad-block', path, found: JSON.stringify(prefix), message: 'expected no address bits after the prefix length',
			});
		}

		if (isMappedIpv4({family, bytes, bits})) {
			faults.push({
				code: 'bad-block', path, found: JSON.stringify(prefix), message: 'expected the IPv4 form of a mapped prefix, since callers are looked up by it',
			});
		}

		const key = `${family}/${bytes.join('.')}/${bits}`;
		const first = firstIndex.get(key);
		if (first === undefined) {
			firstIndex.set(key, index);
		} else {
			faults.push({
				code: 'overlapping-block', path, found: JSON.stringify(prefix), message: `expected a block not named before; clientBlocks[${first}] is the same`,
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
			code: 'address-in-use' as const, path: `backendServers[${index}].port`, found: key, message: `expected an endpoint not used before; backendServers[${first}] has it`,
		}];
	});
}
