/** Generates a configuration set of the planned size from a seed. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';

/** Numbers of objects in a generated set. */
export interface PlannedSize {
	readonly regions: number;
	readonly failureDomains: number;
	readonly sites: number;
	readonly clientBlocks: number;
	readonly serversPerSite: number;
}

/** Size that the system is designed for. */
export const plannedSize: PlannedSize = {
	regions: 8, failureDomains: 27, sites: 170, clientBlocks: 130_000, serversPerSite: 4,
};

/** Options of {@link createPlannedSet}. */
export interface CreatePlannedSetOptions {
	readonly seed: number;
	/** Default: {@link plannedSize}. */
	readonly size?: PlannedSize;
}

const services = [
	{name: 'corrections', priority: 'interactive'},
	{name: 'archive', priority: 'deferrable'},
	{name: 'ledger', priority: 'interactive'},
	{name: 'history', priority: 'deferrable'},
] as const;

const LINK_MEGABITS_PER_SECOND = 4000;
const MIN_LINK_MS = 5;
const MAX_LINK_MS = 40;
const MAX_SPILL_REGIONS = 3;
const SERVER_PORT = 8080;
const SERVER_SLOTS = 16;
const SHIFT_CAP_CALLS_PER_SECOND = 500;
const OCTET_VALUES = 256;

/** Fraction of the client blocks that are IPv6 prefixes. */
const IPV6_SHARE = 0.23;
/** Fraction of the client blocks that are wide IPv4 prefixes, which contain narrower ones. */
const WIDE_SHARE = 0.03;
/** Number of prefixes of 20 bits within 10.0.0.0/8. */
const WIDE_BLOCKS = 4096;
/** Number of prefixes of 26 bits within 10.0.0.0/8. */
const NARROW_BLOCKS = 262_144;
/** Number of prefixes of 48 bits within 2001:db8::/32. */
const IPV6_BLOCKS = 65_536;
/** Step between chosen blocks. It is odd, so that it visits each block once if the number of blocks is a power of two. */
const STRIDE = 40_503;

/** Creates a configuration set. The same seed and size always produce the same set. */
export function createPlannedSet({seed, size = plannedSize}: CreatePlannedSetOptions): ConfigurationSetInput {
	const random = xoroshiro128plus(seed);
	const draw = (below: number): number => uniformInt(random, 0, below - 1);
	const regions = createNames({prefix: 'region', count: size.regions});
	const failureDomains = createNames({prefix: 'domain', count: size.failureDomains});
	const sites = createNames({prefix: 'site', count: size.sites});
	return {
		regions: regions.map(name => ({name})),
		failureDomains: failureDomains.map((name, index) => ({name, region: regions[index % regions.length]!})),
		sites: sites.map((name, index) => ({name, failureDomain: failureDomains[index % failureDomains.length]!})),
		links: regions.flatMap((left, index) => regions.slice(index + 1).map(right => ({
			name: `${left}-${right}`,
			between: [left, right] as [string, string],
			megabitsPerSecond: LINK_MEGABITS_PER_SECOND,
			oneWayMs: MIN_LINK_MS + draw(MAX_LINK_MS - MIN_LINK_MS),
		}))),
		services: services.map(service => ({...service})),
		backendServers: createServers({sites, perSite: size.serversPerSite}),
		shifts: services.flatMap(({name}) => regions.slice(1).map((to, index) => ({
			name: `${name}-to-${to}`, service: name, from: regions[index]!, to, capCallsPerSecond: SHIFT_CAP_CALLS_PER_SECOND,
		}))),
		spillRules: services.flatMap(({name}) => regions.map((from, index) => ({
			name: `${name}-from-${from}`, service: name, from, to: [...regions.slice(index + 1), ...regions.slice(0, index)].slice(0, MAX_SPILL_REGIONS),
		}))),
		drains: [],
		clientBlocks: createPrefixes({count: size.clientBlocks, offset: draw(WIDE_BLOCKS)}).map(prefix => ({prefix, site: sites[draw(sites.length)]!})),
	};
}

function createNames({prefix, count}: {readonly prefix: string; readonly count: number}): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index + 1}`);
}

function createServers({sites, perSite}: {readonly sites: readonly string[]; readonly perSite: number}): ConfigurationSetInput['backendServers'] {
	return sites.flatMap((site, siteIndex) => Array.from({length: perSite}, (_, index) => {
		const number = (siteIndex * perSite) + index;
		const service = services[number % services.length]!.name;
		return {
			name: `${service}-${number + 1}`, service, site, address: `172.16.${Math.floor(number / OCTET_VALUES)}.${number % OCTET_VALUES}`, port: SERVER_PORT, slots: SERVER_SLOTS,
		};
	}));
}

function createPrefixes({count, offset}: {readonly count: number; readonly offset: number}): string[] {
	const ipv6 = Math.round(count * IPV6_SHARE);
	const wide = Math.round(count * WIDE_SHARE);
	const pickIndexes = ({length, blocks}: {readonly length: number; readonly blocks: number}): number[] => Array.from({length}, (_, index) => ((index * STRIDE) + offset) % blocks);
	return [
		...pickIndexes({length: wide, blocks: WIDE_BLOCKS}).map(index => formatIpv4({address: index * (2 ** 12), bits: 20})),
		...pickIndexes({length: count - ipv6 - wide, blocks: NARROW_BLOCKS}).map(index => formatIpv4({address: index * (2 ** 6), bits: 26})),
		...pickIndexes({length: ipv6, blocks: IPV6_BLOCKS}).map(index => `2001:db8:${index.toString(16)}::/48`),
	];
}

function formatIpv4({address, bits}: {readonly address: number; readonly bits: number}): string {
	return `10.${Math.floor(address / (OCTET_VALUES * OCTET_VALUES))}.${Math.floor(address / OCTET_VALUES) % OCTET_VALUES}.${address % OCTET_VALUES}/${bits}`;
}
