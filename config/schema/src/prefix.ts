/** Client prefixes in one canonical form. */
import ipaddr from 'ipaddr.js';

/** An address prefix split into its parts. */
export interface ParsedPrefix {
	readonly family: 'ipv4' | 'ipv6';
	/** Network address in network byte order. */
	readonly bytes: readonly number[];
	readonly bits: number;
	/** True when bits after the prefix length are set. */
	readonly hasHostBits: boolean;
}

/** Parses a CIDR prefix whose syntax was checked. */
export function parsePrefix(prefix: string): ParsedPrefix {
	const [address, bits] = ipaddr.parseCIDR(prefix);
	const bytes = address.toByteArray();
	const network = bytes.map((byte, index) => byte & maskByte({bits, index}));
	return {
		family: address.kind(), bytes: network, bits, hasHostBits: network.some((byte, index) => byte !== bytes[index]),
	};
}

/** IPv4-mapped IPv6 prefixes start with ::ffff:0:0/96 (RFC 4291, section 2.5.5.2). */
const MAPPED_BITS = 96;
const MAPPED_MARK_START = 10;

/** Whether a prefix lies in the IPv4-mapped part of the IPv6 space. */
export function isMappedIpv4({family, bytes, bits}: Pick<ParsedPrefix, 'family' | 'bytes' | 'bits'>): boolean {
	return family === 'ipv6'
		&& bits >= MAPPED_BITS
		&& bytes.slice(0, MAPPED_MARK_START).every(byte => byte === 0)
		&& bytes[MAPPED_MARK_START] === 0xFF
		&& bytes[MAPPED_MARK_START + 1] === 0xFF;
}

function maskByte({bits, index}: {readonly bits: number; readonly index: number}): number {
	const kept = Math.min(8, Math.max(0, bits - (index * 8)));
	return (0xFF << (8 - kept)) & 0xFF;
}
