/** Addresses at which processes listen. */
import {BlockList, isIP} from 'node:net';

const MAX_PORT = 65_535;
const PORT_PATTERN = /^[1-9]\d{0,4}$/u;
const BRACKETED = /^\[(?<address>.*:.*)\]$/u;

/** Addresses that belong to no single host: unspecified, multicast and broadcast. */
const hostless = new BlockList();
hostless.addSubnet('0.0.0.0', 8, 'ipv4');
hostless.addSubnet('224.0.0.0', 4, 'ipv4');
hostless.addAddress('255.255.255.255', 'ipv4');
hostless.addAddress('::', 'ipv6');
hostless.addSubnet('ff00::', 8, 'ipv6');

/** IP address and port. */
export interface Endpoint {
	readonly address: string;
	readonly port: number;
}

/** Origin of an endpoint for HTTP without TLS; an IPv6 address is put into brackets (RFC 3986, section 3.2.2). */
export function originOf({address, port}: Endpoint): string {
	return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}

/** Parses `IP:PORT` as an endpoint that a client can connect to; undefined for anything else. */
export function parseEndpoint(text: string): Endpoint | undefined {
	const colon = text.lastIndexOf(':');
	const portText = text.slice(colon + 1);
	const address = text.slice(0, Math.max(0, colon));
	return PORT_PATTERN.test(portText) ? usableEndpoint({address: BRACKETED.exec(address)?.groups?.address ?? address, port: Number(portText)}) : undefined;
}

/**
 * Returns an endpoint with its address in canonical form; undefined when no client can connect to it. An IPv6 address
 * with a scope is refused, since it has no form in a URL (RFC 3986 knows none) and no meaning on another host.
 */
export function usableEndpoint({address, port}: {readonly address: unknown; readonly port: unknown}): Endpoint | undefined {
	if (typeof address !== 'string' || typeof port !== 'number' || !Number.isInteger(port) || port < 1 || port > MAX_PORT) {
		return undefined;
	}

	const version = isIP(address);
	if (version === 0 || address.includes('%') || hostless.check(address, version === 4 ? 'ipv4' : 'ipv6')) {
		return undefined;
	}

	return canonicalEndpoint({address, port});
}

function canonicalEndpoint(endpoint: Endpoint): Endpoint | undefined {
	const origin = originOf(endpoint);
	return URL.canParse(origin) ? {address: new URL(origin).hostname.replace(/^\[(.*)\]$/u, '$1'), port: endpoint.port} : undefined;
}
