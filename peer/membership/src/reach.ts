/** Concludes which instances can be reached from here: the ones that a chain of observers vouches for. */
import type {InstanceId} from '@pomelopick/core.types';
import type {Observation} from './member.js';

/** An instance as {@link listReached} sees it. */
export interface ObservedMember {
	readonly id: InstanceId;
	/** Findings of its current incarnation that say unreachable. */
	readonly votes: readonly Observation[];
	/** Observers that the overlay gives it. */
	readonly observers: ReadonlySet<InstanceId>;
}

/** Options of {@link listReached}. */
export interface ListReachedOptions {
	/** The instance that judges. */
	readonly self: InstanceId;
	readonly members: readonly ObservedMember[];
}

/**
 * Lists the instances with an observer that is reached itself and finds nothing wrong.
 *
 * An instance without votes is not reached by that alone: all its observers may stand behind the same cut.
 */
export function listReached({self, members}: ListReachedOptions): ReadonlySet<InstanceId> {
	const vouchedFor = groupByObserver(members);
	const reached = new Set([self]);
	// A set is iterated over in the order of insertion, additions during the iteration included.
	for (const observer of reached) {
		for (const subject of vouchedFor.get(observer) ?? []) {
			reached.add(subject);
		}
	}

	return reached;
}

function groupByObserver(members: readonly ObservedMember[]): ReadonlyMap<InstanceId, readonly InstanceId[]> {
	const subjects = new Map<InstanceId, InstanceId[]>();
	for (const {id, votes, observers} of members) {
		for (const observer of observers) {
			if (!votes.some(vote => vote.observer === observer)) {
				const list = subjects.get(observer) ?? [];
				list.push(id);
				subjects.set(observer, list);
			}
		}
	}

	return subjects;
}
