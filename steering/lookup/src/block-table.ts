/** Longest-prefix match from client addresses to sites, in typed arrays. */
import {isIP} from 'node:net';
import {parseIp} from 'ip-bigint';
import type {ClientBlock, SiteName} from '@pomelopick/core.types';

/** Site index of addresses in no block. */
const NO_SITE = -1;
/** Number of blocks that are processed between two pauses. */
const SLICE_BLOCKS = 4000;
const IPV4_BITS = 32;
const IPV6_BITS = 128;
const IPV4_END = 2 ** IPV4_BITS;
const IPV6_END = 1n << BigInt(IPV6_BITS);
const IPV4_MASK = BigInt(IPV4_END - 1);
const HALF_BITS = 64n;
const HALF_MASK = (1n << HALF_BITS) - 1n;

/** A prefix as a range of addresses: numbers for IPv4, big integers for IPv6. */
interface Interval<Address extends number | bigint> {
	readonly start: Address;
	/** First address after the range. */
	readonly end: Address;
	readonly site: number;
}

/** Address from which another site is the longest match. */
interface Boundary<Address extends number | bigint> {
	readonly start: Address;
	readonly site: number;
}

/** Boundaries of both address families, sorted by address. */
interface Boundaries {
	readonly sites: readonly SiteName[];
	readonly ipv4Boundaries: ReadonlyArray<Boundary<number>>;
	readonly ipv6Boundaries: ReadonlyArray<Boundary<bigint>>;
}

/** Options of {@link BlockTable.build}. */
export interface BuildBlockTableOptions {
	readonly blocks: readonly ClientBlock[];
	/** Called between slices of the work, so that the event loop can run other work. */
	readonly pause: () => Promise<void>;
}

/** Blocks as address ranges, by address family. */
interface Ranges {
	readonly sites: readonly SiteName[];
	readonly ipv4: ReadonlyArray<Interval<number>>;
	readonly ipv6: ReadonlyArray<Interval<bigint>>;
}

/** Immutable longest-prefix table. A look-up is a binary search over disjoint ranges. */
export class BlockTable {
	/** A table without blocks. */
	static readonly empty = new BlockTable({sites: [], ipv4Boundaries: [], ipv6Boundaries: []});

	/** Builds the table of a list of blocks. */
	static async build({blocks, pause}: BuildBlockTableOptions): Promise<BlockTable> {
		const {sites, ipv4, ipv6} = await toRanges({blocks, pause});
		const ipv4Boundaries = await flatten({intervals: ipv4, limit: IPV4_END, pause});
		const ipv6Boundaries = await flatten({intervals: ipv6, limit: IPV6_END, pause});
		return new BlockTable({sites, ipv4Boundaries, ipv6Boundaries});
	}

	readonly #sites: readonly SiteName[];
	readonly #ipv4Starts: Uint32Array;
	readonly #ipv4Sites: Int16Array;
	readonly #ipv6High: BigUint64Array;
	readonly #ipv6Low: BigUint64Array;
	readonly #ipv6Sites: Int16Array;

	private constructor({sites, ipv4Boundaries, ipv6Boundaries}: Boundaries) {
		this.#sites = sites;
		this.#ipv4Starts = Uint32Array.from(ipv4Boundaries, boundary => boundary.start);
		this.#ipv4Sites = Int16Array.from(ipv4Boundaries, boundary => boundary.site);
		this.#ipv6High = BigUint64Array.from(ipv6Boundaries, boundary => boundary.start >> HALF_BITS);
		this.#ipv6Low = BigUint64Array.from(ipv6Boundaries, boundary => boundary.start & HALF_MASK);
		this.#ipv6Sites = Int16Array.from(ipv6Boundaries, boundary => boundary.site);
	}

	/** Size of the arrays, in bytes. */
	get byteLength(): number {
		return [this.#ipv4Starts, this.#ipv4Sites, this.#ipv6High, this.#ipv6Low, this.#ipv6Sites]
			.reduce((sum, array) => sum + array.byteLength, 0);
	}

	/** Site of the longest block that contains the address; undefined when no block does or the text is not an address. */
	siteOf(address: string): SiteName | undefined {
		if (isIP(address) === 0) {
			return undefined;
		}

		const {number, version, ipv4mapped} = parseIp(address);
		const index = version === 4 || ipv4mapped ? this.#findIpv4(Number(number & IPV4_MASK)) : this.#findIpv6(number);
		return index === undefined || index === NO_SITE ? undefined : this.#sites[index];
	}

	#findIpv4(address: number): number | undefined {
		const position = lastIndexWhere({length: this.#ipv4Starts.length, holds: index => this.#ipv4Starts[index]! <= address});
		return this.#ipv4Sites[position];
	}

	#findIpv6(address: bigint): number | undefined {
		const high = address >> HALF_BITS;
		const low = address & HALF_MASK;
		const position = lastIndexWhere({
			length: this.#ipv6High.length,
			holds: index => this.#ipv6High[index]! < high || (this.#ipv6High[index]! === high && this.#ipv6Low[index]! <= low),
		});
		return this.#ipv6Sites[position];
	}
}

/** Index of the last element for which `holds` is true, if it is true for a leading run of elements; -1 if it is true for none. */
function lastIndexWhere({length, holds}: {readonly length: number; readonly holds: (index: number) => boolean}): number {
	let low = 0;
	let high = length;
	while (low < high) {
		const middle = (low + high) >>> 1;
		if (holds(middle)) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low - 1;
}

async function toRanges({blocks, pause}: BuildBlockTableOptions): Promise<Ranges> {
	const siteIndex = new Map<SiteName, number>();
	const ipv4: Array<Interval<number>> = [];
	const ipv6: Array<Interval<bigint>> = [];
	for (const [position, {prefix, site}] of blocks.entries()) {
		if (position % SLICE_BLOCKS === SLICE_BLOCKS - 1) {
			await pause();
		}

		const index = siteIndex.get(site) ?? siteIndex.size;
		siteIndex.set(site, index);
		const {number, version, bits} = splitPrefix(prefix);
		if (version === 4) {
			ipv4.push(toIpv4Interval({address: Number(number), bits, site: index}));
		} else {
			ipv6.push(toIpv6Interval({address: number, bits, site: index}));
		}
	}

	return {sites: [...siteIndex.keys()], ipv4, ipv6};
}

function splitPrefix(prefix: string): {readonly number: bigint; readonly version: 4 | 6; readonly bits: number} {
	const slash = prefix.lastIndexOf('/');
	const {number, version} = parseIp(prefix.slice(0, slash));
	return {number, version: version === 4 ? 4 : 6, bits: Number(prefix.slice(slash + 1))};
}

function toIpv4Interval({address, bits, site}: {readonly address: number; readonly bits: number; readonly site: number}): Interval<number> {
	const size = 2 ** (IPV4_BITS - bits);
	const start = address - (address % size);
	return {start, end: start + size, site};
}

function toIpv6Interval({address, bits, site}: {readonly address: bigint; readonly bits: number; readonly site: number}): Interval<bigint> {
	const size = 1n << BigInt(IPV6_BITS - bits);
	const start = address - (address % size);
	return {start, end: start + size, site};
}

interface FlattenOptions<Address extends number | bigint> {
	readonly intervals: ReadonlyArray<Interval<Address>>;
	/** First address after the family's last one. */
	readonly limit: Address;
	readonly pause: () => Promise<void>;
}

/** Turns nested prefixes into the boundaries at which the longest match changes. */
async function flatten<Address extends number | bigint>({intervals, limit, pause}: FlattenOptions<Address>): Promise<Array<Boundary<Address>>> {
	// An outer prefix is sorted before the prefixes that it contains.
	const sorted = [...intervals].sort((left, right) => compare(left.start, right.start) || compare(right.end, left.end));
	const boundaries: Array<Boundary<Address>> = [];
	const open: Array<Interval<Address>> = [];
	const closeUpTo = (position: Address): void => {
		for (let inner = open.at(-1); inner && inner.end <= position; inner = open.at(-1)) {
			open.pop();
			append({boundaries, boundary: {start: inner.end, site: open.at(-1)?.site ?? NO_SITE}});
		}
	};

	for (const [position, interval] of sorted.entries()) {
		if (position % SLICE_BLOCKS === SLICE_BLOCKS - 1) {
			await pause();
		}

		closeUpTo(interval.start);
		append({boundaries, boundary: {start: interval.start, site: interval.site}});
		open.push(interval);
	}

	closeUpTo(limit);
	return boundaries.filter(boundary => boundary.start < limit);
}

/** Appends a boundary; replaces one at the same address, and skips one that does not change the site. */
function append<Address extends number | bigint>({boundaries, boundary}: {readonly boundaries: Array<Boundary<Address>>; readonly boundary: Boundary<Address>}): void {
	if (boundaries.at(-1)?.start === boundary.start) {
		boundaries.pop();
	}

	if (boundaries.at(-1)?.site !== boundary.site) {
		boundaries.push(boundary);
	}
}

function compare<Address extends number | bigint>(left: Address, right: Address): number {
	return left < right ? -1 : Number(left > right);
}
