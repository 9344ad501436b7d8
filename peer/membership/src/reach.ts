/** Determines which instances can be reached from here, by following observers that report no failure. */
import type {InstanceId} from '@pomelopick/core.types';
import type {Observation} from './member.js';

/** An instance, its observers and their votes. */
export interface ObservedMember {
	readonly id: InstanceId;
	/** Observations that its current incarnation is unreachable. */
	readonly votes: readonly Observation[];
	/** Its observers in the overlay. */
	readonly observers: ReadonlySet<InstanceId>;
}

/** Options of {@link listReached}. */
export interface ListReachedOptions {
	/** Id of this instance, from which the search starts. */
	readonly self: InstanceId;
	readonly members: readonly ObservedMember[];
}

/**
 * Lists the instances that have an observer that is itself reached and has no vote against them.
 *
 * An instance without votes is not necessarily reached: all its observers may be behind the same network partition.
 */
export function listReached({self, members}: ListReachedOptions): ReadonlySet<InstanceId> {
	const subjectsByObserver = groupByObserver(members);
	const reached = new Set([self]);
	// A set is iterated over in the order of insertion, additions during the iteration included.
	for (const observer of reached) {
		for (const subject of subjectsByObserver.get(observer) ?? []) {
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
