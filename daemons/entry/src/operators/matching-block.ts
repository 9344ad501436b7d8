/** Finds the client block that decides the site of an address. */
import ipaddr from 'ipaddr.js';
import type {ClientBlock, ObjectList} from '@pomelopick/core.types';

type Address = ipaddr.IPv4 | ipaddr.IPv6;

/**
 * Finds the longest block that contains an address.
 *
 * Blocks are first compared as text, which is fast. Only if none matches, as a block may be written in another form, are
 * all blocks parsed.
 */
export function findMatchingBlock({blocks, client}: {readonly blocks: ObjectList<ClientBlock>; readonly client: string}): ClientBlock | undefined {
	const address = ipaddr.process(client);
	const prefixes = listPrefixes(address);
	const longest = findLongest({blocks, matches: ({prefix}) => prefixes.has(prefix)});
	return longest ?? findLongest({blocks, matches: ({prefix}) => contains({prefix, address})});
}

/** Lists the text of each prefix that contains the address. */
function listPrefixes(address: Address): ReadonlySet<string> {
	const bits = address.kind() === 'ipv4' ? 32 : 128;
	return new Set(Array.from({length: bits + 1}, (_, length) => {
		const network = address.kind() === 'ipv4'
			? ipaddr.IPv4.networkAddressFromCIDR(`${address.toString()}/${length}`)
			: ipaddr.IPv6.networkAddressFromCIDR(`${address.toString()}/${length}`);
		return `${network.kind() === 'ipv4' ? network.toString() : (network as ipaddr.IPv6).toRFC5952String()}/${length}`;
	}));
}

function contains({prefix, address}: {readonly prefix: string; readonly address: Address}): boolean {
	const [network, bits] = ipaddr.parseCIDR(prefix);
	return network.kind() === address.kind() && address.match(network, bits);
}

/** Finds the longest block that matches, the first one of equal length. Iterates without copying the list. */
function findLongest({blocks, matches}: {readonly blocks: ObjectList<ClientBlock>; readonly matches: (block: ClientBlock) => boolean}): ClientBlock | undefined {
	let longest: ClientBlock | undefined;
	for (const block of blocks) {
		if (matches(block) && (longest === undefined || lengthOf(block) > lengthOf(longest))) {
			longest = block;
		}
	}

	return longest;
}

function lengthOf({prefix}: ClientBlock): number {
	return Number(prefix.slice(prefix.indexOf('/') + 1));
}
