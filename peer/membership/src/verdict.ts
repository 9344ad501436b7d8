/** Decides from the observations which instances are alive. */
import type {InstanceId} from '@pomelopick/core.types';
import {listReached} from './reach.js';
import type {ObservedMember} from './reach.js';

/** An instance, with what the decision about it needs. */
export interface JudgedMember extends ObservedMember {
	readonly region: string;
	/** Monotonic time since which it has votes, in milliseconds. */
	readonly suspectedSinceMs: number;
}

/** Options of {@link judgeMembers}. */
export interface JudgeMembersOptions {
	/** Id of the instance that decides. */
	readonly self: InstanceId;
	readonly members: readonly JudgedMember[];
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** State of an instance; `isolated`: its whole region cannot be reached, so nothing can be said about the instance itself. */
export type Verdict = 'alive' | 'isolated' | 'dead';

/** Time after which votes from other regions alone count when the region has no other instance, in milliseconds. */
export const OUTSIDE_VOTES_WAIT_MS = 2000;
/**
 * Time after which votes from other regions alone count when other instances of the region are still reached, in
 * milliseconds.
 *
 * Longer than the time between the first and the last observer that find a subject unreachable. Otherwise, when a link is
 * cut, the first votes would count while the last observers have not noticed the cut and their subjects still look reached.
 */
export const REACHED_REGION_WAIT_MS = 10_000;

interface View extends JudgeMembersOptions {
	readonly byId: ReadonlyMap<InstanceId, JudgedMember>;
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
export function judgeMembers({self, members, nowMs}: JudgeMembersOptions): ReadonlyMap<InstanceId, Verdict> {
	const byId = new Map(members.map(member => [member.id, member]));
	const reached = listReached({self, members});
	const isolatedRegions = listIsolatedRegions({members, byId, reached});
	const view: View = {
		self, members, nowMs, byId, reached, isolatedRegions,
	};
	const verdicts = members.map(member => [member.id, judge({member, view})] as const);
	return new Map(verdicts.flatMap(([id, verdict]) => verdict ? [[id, verdict] as const] : []));
}

/** Decides the state of one member; undefined when it is alive without a majority against it. */
function judge({member, view}: {readonly member: JudgedMember; readonly view: View}): Verdict | undefined {
	const isSuspect = hasMajority({member, reached: view.reached});
	if (isSuspect && hasDirectEvidence({member, byId: view.byId})) {
		return 'dead';
	}

	if (view.isolatedRegions.has(member.region)) {
		return 'isolated';
	}

	if (!isSuspect) {
		return undefined;
	}

	const hasMates = view.members.some(other => other.region === member.region && other.id !== member.id);
	return view.nowMs - member.suspectedSinceMs >= (hasMates ? REACHED_REGION_WAIT_MS : OUTSIDE_VOTES_WAIT_MS) ? 'dead' : 'alive';
}

function hasMajority({member, reached}: {readonly member: JudgedMember; readonly reached: ReadonlySet<InstanceId>}): boolean {
	const voters = new Set(member.votes.map(({observer}) => observer));
	const silent = [...member.observers].filter(id => !voters.has(id) && reached.has(id));
	return voters.size > silent.length;
}

/** Whether some vote comes from the member's region, or all votes are refused connections. */
function hasDirectEvidence({member, byId}: {readonly member: JudgedMember; readonly byId: ReadonlyMap<InstanceId, JudgedMember>}): boolean {
	return member.votes.length > 0
		&& (member.votes.some(({observer}) => byId.get(observer)?.region === member.region) || member.votes.every(({refused}) => refused));
}

/** Regions in which several instances remain and none is reached. Instances known to be dead by direct evidence are left out, as they say nothing about the region. */
function listIsolatedRegions({members, byId, reached}: Pick<View, 'members' | 'byId' | 'reached'>): ReadonlySet<string> {
	const regions = new Map<string, JudgedMember[]>();
	for (const member of members.filter(candidate => !hasDirectEvidence({member: candidate, byId}))) {
		regions.set(member.region, [...regions.get(member.region) ?? [], member]);
	}

	return new Set([...regions].filter(([, list]) => list.length > 1 && list.every(({id}) => !reached.has(id))).map(([region]) => region));
}
