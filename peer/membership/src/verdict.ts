/** Concludes from the observations which instances are alive. */
import type {InstanceId} from '@pomelopick/core.types';
import {listReached} from './reach.js';
import type {ObservedMember} from './reach.js';

/** An instance as {@link judgeMembers} sees it. */
export interface JudgedMember extends ObservedMember {
	readonly region: string;
	/** Monotonic time since which it has votes, in milliseconds. */
	readonly suspectedSinceMs: number;
}

/** Options of {@link judgeMembers}. */
export interface JudgeMembersOptions {
	/** The instance that judges. */
	readonly self: InstanceId;
	readonly members: readonly JudgedMember[];
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** What the observations say of an instance. */
export type Verdict = 'alive' | 'isolated' | 'dead';

/** Time for which votes from other regions alone wait when the region has no other instance, in milliseconds. */
export const OUTSIDE_VOTES_WAIT_MS = 2000;
/**
 * The same when it has others, some of which still count as reached, in milliseconds.
 *
 * Longer than the slowest observer takes after the quickest one to find a subject unreachable: the last to notice a
 * cut link must not make the votes of the first count.
 */
export const REACHED_REGION_WAIT_MS = 10_000;

interface View extends JudgeMembersOptions {
	readonly byId: ReadonlyMap<InstanceId, JudgedMember>;
	readonly reached: ReadonlySet<InstanceId>;
	/** Regions of which no instance is reached. */
	readonly isolatedRegions: ReadonlySet<string>;
}

/**
 * Judges the members that have votes or stand in a region that is out of reach; the others are alive.
 *
 * A majority of the observers that can be heard makes an instance dead when one of them stands in its region
 * or when its machine refuses connections. Votes from outside alone may come from a cut link: they count once
 * they are old enough and another instance of the region is still reached, or the region has no other.
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

/** Undefined while nothing speaks against the member. */
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

/** A vote of the same region, or as many refused connections as votes. */
function hasDirectEvidence({member, byId}: {readonly member: JudgedMember; readonly byId: ReadonlyMap<InstanceId, JudgedMember>}): boolean {
	return member.votes.length > 0
		&& (member.votes.some(({observer}) => byId.get(observer)?.region === member.region) || member.votes.every(({refused}) => refused));
}

/** Regions with several instances of which none is reached; those with direct evidence say nothing of the region. */
function listIsolatedRegions({members, byId, reached}: Pick<View, 'members' | 'byId' | 'reached'>): ReadonlySet<string> {
	const regions = new Map<string, JudgedMember[]>();
	for (const member of members.filter(candidate => !hasDirectEvidence({member: candidate, byId}))) {
		regions.set(member.region, [...regions.get(member.region) ?? [], member]);
	}

	return new Set([...regions].filter(([, list]) => list.length > 1 && list.every(({id}) => !reached.has(id))).map(([region]) => region));
}
