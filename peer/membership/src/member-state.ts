/** Decides from the observations which instances are alive. */
import type {InstanceId} from '@pomelopick/core.types';
import {listReached} from './reach.js';
import type {ObservedMember} from './reach.js';

/** An instance, with what the decision about it needs. */
export interface ClassifiableMember extends ObservedMember {
	readonly region: string;
	/** Monotonic time since which it has votes, in milliseconds. */
	readonly suspectedSinceMs: number;
}

/** Options of {@link classifyMembers}. */
export interface ClassifyMembersOptions {
	/** Id of the instance that decides. */
	readonly self: InstanceId;
	readonly members: readonly ClassifiableMember[];
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** State of an instance; `isolated`: its whole region cannot be reached, so nothing can be said about the instance itself. */
export type MemberState = 'alive' | 'isolated' | 'dead';

/** Time after which votes from other regions alone count when the region has no other instance, in milliseconds. */
export const OUTSIDE_VOTES_WAIT_MS = 2000;
/**
 * Time after which votes from other regions alone count when other instances of the region are still reached, in
 * milliseconds.
 *
 * Longer than the time between the first and the last observer that find a subject unreachable. Otherwise, when a link is
 * cut, the first votes would count while the last observers have not noticed the cut and the region still looks reached.
 */
export const REACHED_REGION_WAIT_MS = 10_000;

interface View extends ClassifyMembersOptions {
	readonly byId: ReadonlyMap<InstanceId, ClassifiableMember>;
	readonly reached: ReadonlySet<InstanceId>;
	/** Regions without a reached instance. */
	readonly isolatedRegions: ReadonlySet<string>;
}

/**
 * Decides the state of the members that have a majority of votes against them or are in an unreachable region; all others
 * are alive and left out of the result.
 *
 * A majority of the reachable observers makes an instance dead at once if one of them is in the instance's region or if
 * the instance's machine refuses connections. Votes from other regions alone may be caused by a cut link: they count only
 * once they are old enough, and if another instance of the region is still reached or the region has no other instance.
 */
export function classifyMembers({self, members, nowMs}: ClassifyMembersOptions): ReadonlyMap<InstanceId, MemberState> {
	const byId = new Map(members.map(member => [member.id, member]));
	const reached = listReached({self, members});
	const isolatedRegions = listIsolatedRegions({members, byId, reached});
	const view: View = {
		self, members, nowMs, byId, reached, isolatedRegions,
	};
	const states = members.map(member => [member.id, classify({member, view})] as const);
	return new Map(states.flatMap(([id, state]) => state ? [[id, state] as const] : []));
}

/** Decides the state of one member; undefined when it is alive without a majority against it. */
function classify({member, view}: {readonly member: ClassifiableMember; readonly view: View}): MemberState | undefined {
	const isSuspect = hasMajority({member, reached: view.reached});
	if (isSuspect && isDirectlyConfirmed({member, byId: view.byId})) {
		return 'dead';
	}

	if (view.isolatedRegions.has(member.region)) {
		return 'isolated';
	}

	if (!isSuspect) {
		return undefined;
	}

	const hasOthers = view.members.some(other => other.region === member.region && other.id !== member.id);
	return view.nowMs - member.suspectedSinceMs >= (hasOthers ? REACHED_REGION_WAIT_MS : OUTSIDE_VOTES_WAIT_MS) ? 'dead' : 'alive';
}

function hasMajority({member, reached}: {readonly member: ClassifiableMember; readonly reached: ReadonlySet<InstanceId>}): boolean {
	const voters = new Set(member.votes.map(({observer}) => observer));
	const nonVoters = [...member.observers].filter(id => !voters.has(id) && reached.has(id));
	return voters.size > nonVoters.length;
}

/** Whether some vote comes from the member's region, or all votes are refused connections. */
function isDirectlyConfirmed({member, byId}: {readonly member: ClassifiableMember; readonly byId: ReadonlyMap<InstanceId, ClassifiableMember>}): boolean {
	return member.votes.length > 0
		&& (member.votes.some(({observer}) => byId.get(observer)?.region === member.region) || member.votes.every(({refused}) => refused));
}

/** Regions in which several instances remain and none is reached. Members whose votes are directly confirmed are left out, as they say nothing about the region. */
function listIsolatedRegions({members, byId, reached}: Pick<View, 'members' | 'byId' | 'reached'>): ReadonlySet<string> {
	const regions = new Map<string, ClassifiableMember[]>();
	for (const member of members.filter(candidate => !isDirectlyConfirmed({member: candidate, byId}))) {
		regions.set(member.region, [...regions.get(member.region) ?? [], member]);
	}

	return new Set([...regions].filter(([, list]) => list.length > 1 && list.every(({id}) => !reached.has(id))).map(([region]) => region));
}
