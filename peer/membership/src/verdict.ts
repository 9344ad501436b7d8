/** Concludes from the observations which instances are alive. */
import type {InstanceId} from '@pomelopick/core.types';
import type {Observation} from './member.js';

/** An instance as {@link judgeMembers} sees it. */
export interface JudgedMember {
	readonly id: InstanceId;
	readonly region: string;
	/** Findings of its current incarnation that say unreachable. */
	readonly votes: readonly Observation[];
	/** Observers that the overlay gives it. */
	readonly observers: ReadonlySet<InstanceId>;
	/** Monotonic time since which it has votes, in milliseconds. */
	readonly suspectedSinceMs: number;
}

/** Options of {@link judgeMembers}. */
export interface JudgeMembersOptions {
	readonly members: readonly JudgedMember[];
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** What the observations say of an instance. */
export type Verdict = 'alive' | 'isolated' | 'dead';

/** Time for which votes from other regions alone wait for those about the rest of the region, in milliseconds. */
export const OUTSIDE_VOTES_WAIT_MS = 2000;

/**
 * Judges all members that have votes; the others are alive.
 *
 * A majority of the observers that can vote makes an instance dead when one of them stands in its region
 * or when its machine refuses connections. Votes from outside alone may come from a cut link: they count
 * once they are {@link OUTSIDE_VOTES_WAIT_MS} old and another instance of the region is still reachable.
 */
export function judgeMembers({members, nowMs}: JudgeMembersOptions): ReadonlyMap<InstanceId, Verdict> {
	const byId = new Map(members.map(member => [member.id, member]));
	const suspects = members.filter(member => hasMajority({member, byId}));
	const outside = new Set(suspects.filter(member => !hasDirectEvidence({member, byId})));
	return new Map(suspects.map(member => [
		member.id,
		outside.has(member)
			? judgeFromOutside({
				member, members, outside, byId, nowMs,
			})
			: 'dead',
	]));
}

type MembersById = ReadonlyMap<InstanceId, JudgedMember>;

function hasMajority({member, byId}: {readonly member: JudgedMember; readonly byId: MembersById}): boolean {
	if (member.votes.length === 0) {
		return false;
	}

	const voters = new Set(member.votes.map(({observer}) => observer));
	const silent = [...member.observers].filter(id => !voters.has(id) && (byId.get(id)?.votes.length ?? 1) === 0);
	return voters.size > silent.length;
}

/** A vote of the same region, or as many refused connections as votes. */
function hasDirectEvidence({member, byId}: {readonly member: JudgedMember; readonly byId: MembersById}): boolean {
	return member.votes.some(({observer}) => byId.get(observer)?.region === member.region)
		|| member.votes.every(({refused}) => refused);
}

interface JudgeFromOutsideOptions {
	readonly member: JudgedMember;
	readonly members: readonly JudgedMember[];
	readonly outside: ReadonlySet<JudgedMember>;
	readonly byId: MembersById;
	readonly nowMs: number;
}

function judgeFromOutside({member, members, outside, byId, nowMs}: JudgeFromOutsideOptions): Verdict {
	const region = members.filter(other => other.region === member.region && !(other.votes.length > 0 && hasDirectEvidence({member: other, byId})));
	if (region.length > 1 && region.every(other => outside.has(other))) {
		return 'isolated';
	}

	return nowMs - member.suspectedSinceMs >= OUTSIDE_VOTES_WAIT_MS ? 'dead' : 'alive';
}
