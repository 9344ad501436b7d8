/** Longest-prefix table from client addresses to sites, kept in typed arrays. */
import ipaddr from 'ipaddr.js';
import type {ClientBlock, SiteName} from '@pomelopick/core.types';

const NO_SITE = -1;
const IPV4_BITS = 32n;
const IPV6_BITS = 128n;
const HALF_BITS = 64n;
const HALF_MASK = (1n << HALF_BITS) - 1n;

interface Interval {
	readonly start: bigint;
	readonly end: bigint;
	readonly bits: number;
	readonly site: number;
}

interface Boundary {
	readonly start: bigint;
	readonly site: number;
}

/** Immutable longest-prefix table. Look-ups are binary searches over disjoint ranges. */
export class BlockTable {
	readonly #sites: readonly SiteName[];
	readonly #ipv4Starts: Uint32Array;
	readonly #ipv4Sites: Int16Array;
	readonly #ipv6High: BigUint64Array;
	readonly #ipv6Low: BigUint64Array;
	readonly #ipv6Sites: Int16Array;

	constructor({blocks}: {readonly blocks: readonly ClientBlock[]}) {
		const siteIndex = new Map<SiteName, number>();
		const intervals: {ipv4: Interval[]; ipv6: Interval[]} = {ipv4: [], ipv6: []};
		for (const {prefix, site} of blocks) {
			const index = siteIndex.get(site) ?? siteIndex.size;
			siteIndex.set(site, index);
			const [address, bits] = ipaddr.parseCIDR(prefix);
			intervals[address.kind()].push(toInterval({bytes: address.toByteArray(), bits, site: index}));
		}

		const ipv4 = flatten({intervals: intervals.ipv4, limit: 1n << IPV4_BITS});
		const ipv6 = flatten({intervals: intervals.ipv6, limit: 1n << IPV6_BITS});
		this.#sites = [...siteIndex.keys()];
		this.#ipv4Starts = Uint32Array.from(ipv4, boundary => Number(boundary.start));
		this.#ipv4Sites = Int16Array.from(ipv4, boundary => boundary.site);
		this.#ipv6High = BigUint64Array.from(ipv6, boundary => boundary.start >> HALF_BITS);
		this.#ipv6Low = BigUint64Array.from(ipv6, boundary => boundary.start & HALF_MASK);
		this.#ipv6Sites = Int16Array.from(ipv6, boundary => boundary.site);
	}

	/** Memory of the arrays, in bytes. */
	get byteLength(): number {
		return [this.#ipv4Starts, this.#ipv4Sites, this.#ipv6High, this.#ipv6Low, this.#ipv6Sites]
			.reduce((sum, array) => sum + array.byteLength, 0);
	}

	/** Site of the longest block that holds the address; undefined when none does or the text is no address. */
	siteOf(address: string): SiteName | undefined {
		if (!ipaddr.isValid(address)) {
			return undefined;
		}

		const parsed = ipaddr.process(address);
		const index = parsed.kind() === 'ipv4' ? this.#findIpv4(toNumber(parsed.toByteArray())) : this.#findIpv6(toBigInt(parsed.toByteArray()));
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

/** Index of the last element for which `holds` is true, when it is true for a leading run; -1 when for none. */
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

function toInterval({bytes, bits, site}: {readonly bytes: readonly number[]; readonly bits: number; readonly site: number}): Interval {
	const size = 1n << (BigInt(bytes.length * 8) - BigInt(bits));
	const start = toBigInt(bytes) / size * size;
	return {
		start, end: start + size, bits, site,
	};
}

/** Turns nested prefixes into the boundaries at which the longest match changes. */
function flatten({intervals, limit}: {readonly intervals: readonly Interval[]; readonly limit: bigint}): Boundary[] {
	const sorted = [...intervals].sort((left, right) => compare(left.start, right.start) || left.bits - right.bits);
	const boundaries: Boundary[] = [];
	const open: Interval[] = [];
	const closeUpTo = (position: bigint): void => {
		for (let inner = open.at(-1); inner && inner.end <= position; inner = open.at(-1)) {
			open.pop();
			append({boundaries, boundary: {start: inner.end, site: open.at(-1)?.site ?? NO_SITE}});
		}
	};

	for (const interval of sorted) {
		closeUpTo(interval.start);
		append({boundaries, boundary: {start: interval.start, site: interval.site}});
		open.push(interval);
	}

	closeUpTo(limit);
	return boundaries.filter(boundary => boundary.start < limit);
}

function append({boundaries, boundary}: {readonly boundaries: Boundary[]; readonly boundary: Boundary}): void {
	if (boundaries.at(-1)?.start === boundary.start) {
		boundaries.pop();
	}

	if (boundaries.at(-1)?.site !== boundary.site) {
		boundaries.push(boundary);
	}
}

function compare(left: bigint, right: bigint): number {
	return left < right ? -1 : Number(left > right);
}

function toNumber(bytes: readonly number[]): number {
	return bytes.reduce((sum, byte) => (sum * 256) + byte, 0);
}

function toBigInt(bytes: readonly number[]): bigint {
	return bytes.reduce((sum, byte) => (sum << 8n) + BigInt(byte), 0n);
}
