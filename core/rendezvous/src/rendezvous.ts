/**
 * Highest-random-weight hashing.
 *
 * D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit rates",
 * IEEE/ACM Transactions on Networking 6(1), 1998.
 */
import xxhash from 'xxhash-wasm';

const {h64, h64ToString} = await xxhash();

/** What an owner is chosen from. */
export interface Identified {
	readonly id: string;
}

/** Options of {@link chooseOwner}. */
export interface ChooseOwnerOptions<Candidate extends Identified> {
	readonly key: string;
	readonly instances: readonly Candidate[];
}

/** Options of {@link chooseOwners}. */
export interface ChooseOwnersOptions<Candidate extends Identified> extends ChooseOwnerOptions<Candidate> {
	/** Most owners to choose. */
	readonly count: number;
}

/** 64-bit hash of a text. */
export function hashText(text: string): bigint {
	return h64(text);
}

/** 64-bit hash of a text as 16 hexadecimal digits. */
export function hashTextToHex(text: string): string {
	return h64ToString(text);
}

/** The owner of a key; undefined when there is no instance. When an instance leaves, only its keys move. */
export function chooseOwner<Candidate extends Identified>({key, instances}: ChooseOwnerOptions<Candidate>): Candidate | undefined {
	return chooseOwners({key, instances, count: 1})[0];
}

/** The owners of a key in order of preference. */
export function chooseOwners<Candidate extends Identified>({key, instances, count}: ChooseOwnersOptions<Candidate>): readonly Candidate[] {
	return instances
		.map(instance => ({instance, weight: h64(`${key}\0${instance.id}`)}))
		.sort((left, right) => compareWeights(right.weight, left.weight) || left.instance.id.localeCompare(right.instance.id))
		.slice(0, count)
		.map(({instance}) => instance);
}

function compareWeights(left: bigint, right: bigint): number {
	return left < right ? -1 : Number(left > right);
}
