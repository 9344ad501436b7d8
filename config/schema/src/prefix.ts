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

function maskByte({bits, index}: {readonly bits: number; readonly index: number}): number {
	const kept = Math.min(8, Math.max(0, bits - (index * 8)));
	return (0xFF << (8 - kept)) & 0xFF;
}
