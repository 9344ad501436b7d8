/** Finds the client block that decides the site of an address. */
import ipaddr from 'ipaddr.js';
import type {ClientBlock} from '@pomelopick/core.types';

type Address = ipaddr.IPv4 | ipaddr.IPv6;

/**
 * The longest block that holds an address.
 *
 * Blocks are compared by their text first, which is quick; only when a block is written in another form are all parsed.
 */
export function findMatchingBlock({blocks, client}: {readonly blocks: readonly ClientBlock[]; readonly client: string}): ClientBlock | undefined {
	const address = ipaddr.process(client);
	const prefixes = listPrefixes(address);
	const longest = pickLongest(blocks.filter(({prefix}) => prefixes.has(prefix)));
	return longest ?? pickLongest(blocks.filter(({prefix}) => holds({prefix, address})));
}

/** Text of each prefix that holds the address. */
function listPrefixes(address: Address): ReadonlySet<string> {
	const bits = address.kind() === 'ipv4' ? 32 : 128;
	return new Set(Array.from({length: bits + 1}, (_, length) => {
		const network = address.kind() === 'ipv4'
			? ipaddr.IPv4.networkAddressFromCIDR(`${address.toString()}/${length}`)
			: ipaddr.IPv6.networkAddressFromCIDR(`${address.toString()}/${length}`);
		return `${network.kind() === 'ipv4' ? network.toString() : (network as ipaddr.IPv6).toRFC5952String()}/${length}`;
	}));
}

function holds({prefix, address}: {readonly prefix: string; readonly address: Address}): boolean {
	const [network, bits] = ipaddr.parseCIDR(prefix);
	return network.kind() === address.kind() && address.match(network, bits);
}

function pickLongest(blocks: readonly ClientBlock[]): ClientBlock | undefined {
	const lengthOf = ({prefix}: ClientBlock): number => Number(prefix.slice(prefix.indexOf('/') + 1));
	return [...blocks].sort((left, right) => lengthOf(right) - lengthOf(left))[0];
}
