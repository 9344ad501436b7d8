/** Configuration sets of any size, generated from a seed. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import {plannedSize} from './planned-size.js';

const SERVERS_PER_SITE = 4;
const FIRST_OCTET = 11;
const IPV6_SHARE = 5;

/** Options of {@link generateSet}. */
export interface GenerateSetOptions {
	readonly clientBlocks: number;
	readonly seed: number;
}

/** A set with the planned places and the given number of client blocks. */
export function generateSet({clientBlocks, seed}: GenerateSetOptions): ConfigurationSetInput {
	const random = xoroshiro128plus(seed);
	const siteName = (index: number): string => `site-${index % plannedSize.sites}`;
	const regions = Array.from({length: plannedSize.regions}, (_, index) => ({name: `region-${index}`}));
	return {
		regions,
		failureDomains: Array.from({length: plannedSize.failureDomains}, (_, index) => ({name: `domain-${index}`, region: `region-${index % plannedSize.regions}`})),
		sites: Array.from({length: plannedSize.sites}, (_, index) => ({name: siteName(index), failureDomain: `domain-${index % plannedSize.failureDomains}`})),
		links: regions.flatMap((left, index) => regions.slice(index + 1).map(right => ({
			name: `${left.name}-${right.name}`, between: [left.name, right.name] as [string, string], megabitsPerSecond: 4000, oneWayMs: 12,
		}))),
		services: [{name: 'desk'}, {name: 'archive', priority: 'deferrable'}],
		backendServers: Array.from({length: plannedSize.sites * SERVERS_PER_SITE}, (_, index) => ({
			name: `server-${index}`, service: index % 2 === 0 ? 'desk' : 'archive', site: siteName(index), address: `10.200.${Math.floor(index / 256)}.${index % 256}`, port: 8080, slots: 4,
		})),
		clientBlocks: Array.from({length: clientBlocks}, (_, index) => ({
			prefix: index % IPV6_SHARE === 0 ? ipv6Block(index) : ipv4Block(index),
			site: siteName(uniformInt(random, 0, plannedSize.sites - 1)),
		})),
	};
}

function ipv4Block(index: number): string {
	return `${FIRST_OCTET + Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}.0/24`;
}

function ipv6Block(index: number): string {
	return `2001:db8:${Math.floor(index / 256).toString(16)}:${(index % 256).toString(16)}00::/56`;
}
