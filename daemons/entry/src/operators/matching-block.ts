/** Finds the client block that decides the site of an address. */
import ipaddr from 'ipaddr.js';
import type {ClientBlock, ObjectList} from '@pomelopick/core.types';

type Address = ipaddr.IPv4 | ipaddr.IPv6;

/**
 * The longest block that holds an address.
 *
 * Blocks are compared by their text first, which is quick; only when a block is written in another form are all parsed.
 */
export function findMatchingBlock({blocks, client}: {readonly blocks: ObjectList<ClientBlock>; readonly client: string}): ClientBlock | undefined {
	const address = ipaddr.process(client);
	const prefixes = listPrefixes(address);
	const longest = pickLongest({blocks, fits: ({prefix}) => prefixes.has(prefix)});
	return longest ?? pickLongest({blocks, fits: ({prefix}) => holds({prefix, address})});
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

/** Longest block that fits, the first of equal ones; reads the list without a copy. */
function pickLongest({blocks, fits}: {readonly blocks: ObjectList<ClientBlock>; readonly fits: (block: ClientBlock) => boolean}): ClientBlock | undefined {
	let longest: ClientBlock | undefined;
	for (const block of blocks) {
		if (fits(block) && (longest === undefined || lengthOf(block) > lengthOf(longest))) {
			longest = block;
		}
	}

	return longest;
}

function lengthOf({prefix}: ClientBlock): number {
	return Number(prefix.slice(prefix.indexOf('/') + 1));
}
