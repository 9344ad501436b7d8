/** Addresses at which processes listen. */

/** IP address and port. */
export interface Endpoint {
	readonly address: string;
	readonly port: number;
}

/** Origin of an endpoint for HTTP without TLS; an IPv6 address is put into brackets (RFC 3986, section 3.2.2). */
export function originOf({address, port}: Endpoint): string {
	return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}
