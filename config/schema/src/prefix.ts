/** Parses client prefixes into a canonical form, so that equal prefixes compare equal. */
import ipaddr from 'ipaddr.js';

/** A parsed address prefix. */
export interface ParsedPrefix {
	readonly family: 'ipv4' | 'ipv6';
	/** Network address in network byte order. */
	readonly bytes: readonly number[];
	/** Prefix length, in bits. */
	readonly bits: number;
	/** Whether any address bit after the prefix length is set. */
	readonly hasHostBits: boolean;
}

/** Parses a prefix in CIDR notation; its syntax must have been validated. */
export function parsePrefix(prefix: string): ParsedPrefix {
	const [address, bits] = ipaddr.parseCIDR(prefix);
	const bytes = address.toByteArray();
	const network = bytes.map((byte, index) => byte & netmaskByte({bits, index}));
	return {
		family: address.kind(), bytes: network, bits, hasHostBits: network.some((byte, index) => byte !== bytes[index]),
	};
}

/** Length of the prefix of IPv4-mapped IPv6 addresses, ::ffff:0:0/96, in bits (RFC 4291, section 2.5.5.2). */
const MAPPED_PREFIX_BITS = 96;
/** Index of the first of the two 0xFF bytes in that prefix. */
const MAPPED_MARKER_START = 10;

/** Whether a prefix contains only IPv4-mapped IPv6 addresses. */
export function isMappedIpv4({family, bytes, bits}: Pick<ParsedPrefix, 'family' | 'bytes' | 'bits'>): boolean {
	return family === 'ipv6'
		&& bits >= MAPPED_PREFIX_BITS
		&& bytes.slice(0, MAPPED_MARKER_START).every(byte => byte === 0)
		&& bytes[MAPPED_MARKER_START] === 0xFF
		&& bytes[MAPPED_MARKER_START + 1] === 0xFF;
}

function netmaskByte({bits, index}: {readonly bits: number; readonly index: number}): number {
	const networkBits = Math.min(8, Math.max(0, bits - (index * 8)));
	return (0xFF << (8 - networkBits)) & 0xFF;
}
