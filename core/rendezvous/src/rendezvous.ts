/**
 * Highest-random-weight hashing.
 *
 * D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit rates",
 * IEEE/ACM Transactions on Networking 6(1), 1998.
 */
import {hashTextToNumber, mixWeight} from './mixed-weight.js';

/** A candidate for ownership. */
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
	/** Maximum number of owners to choose. */
	readonly count: number;
}

/** The owner of a key; undefined when there is no instance. When an instance leaves, only its keys move. */
export function chooseOwner<Candidate extends Identified>({key, instances}: ChooseOwnerOptions<Candidate>): Candidate | undefined {
	return chooseOwners({key, instances, count: 1})[0];
}

/** The owners of a key in order of preference. */
export function chooseOwners<Candidate extends Identified>({key, instances, count}: ChooseOwnersOptions<Candidate>): readonly Candidate[] {
	const keyHash = hashTextToNumber(key);
	return instances
		.map(instance => ({instance, weight: mixWeight({keyHash, ownerHash: hashOfId(instance)})}))
		.sort((left, right) => right.weight - left.weight || left.instance.id.localeCompare(right.instance.id))
		.slice(0, count)
		.map(({instance}) => instance);
}

/** Cached hashes of the ids of members, as the same members are ranked for many keys. */
const idHashes = new WeakMap<Identified, number>();

function hashOfId(member: Identified): number {
	const hash = idHashes.get(member) ?? hashTextToNumber(member.id);
	idHashes.set(member, hash);
	return hash;
}
