/** Decides from the recorded crashes and answers whether a request causes crashes of servers. */
import type {RecordedCrash} from './crash-records.js';
import type {RequestFingerprint} from './fingerprint.js';
import {countSeparate} from './run-span.js';

/** How sure it is that a request crashes servers. `likely`: other requests, chance or a cut network may explain the crashes as well. */
export type Certainty = 'certain' | 'likely';

/** Maximum number of servers that one request can crash, one after another, before it is quarantined. */
export const MAX_CRASHES_BEFORE_QUARANTINE = 3;
/** Number of crashes that quarantine a request if it was the only suspect of each. */
const SOLE_SUSPECT_CRASHES = 2;
/** Number of answers for each crash up to which a request may still be the cause. */
export const MAX_ANSWERS_PER_CRASH = 4;
/** Share of all crashes since its first one that a request which is also answered must explain. */
const MIN_EXPLAINED_SHARE = 0.5;

/** All that is recorded, as far as the classification needs it. */
export interface CrashEvidenceView {
	/** All crashes, oldest first. */
	readonly crashes: Iterable<RecordedCrash>;
	readonly crashesOf: (fingerprint: RequestFingerprint) => ReadonlySet<RecordedCrash>;
	/** Number of answers that a request got from servers. Each proves that one run ended no server. */
	readonly answersTo: (fingerprint: RequestFingerprint) => number;
}

/** Decision that a request crashes servers. */
export interface Classification {
	readonly certainty: Certainty;
	/** Monotonic time of the last crash that the decision is based on, in milliseconds. */
	readonly atMs: number;
}

/** Evidence against one request. */
interface Weight {
	/** Number of crashes that it can have caused one after another. */
	readonly crashes: number;
	readonly answers: number;
}

/** Options of {@link classifySuspect}. */
export interface ClassifySuspectOptions {
	readonly fingerprint: RequestFingerprint;
	readonly view: CrashEvidenceView;
}

/**
 * Classifies a request. Returns undefined if too few crashes are left that no stronger suspect explains, if a stronger
 * suspect shares all of these, or if the request was answered too often for the number of its crashes.
 */
export function classifySuspect({fingerprint, view}: ClassifySuspectOptions): Classification | undefined {
	if (view.crashesOf(fingerprint).size < SOLE_SUSPECT_CRASHES) {
		return undefined;
	}

	const crashes = [...view.crashesOf(fingerprint)].filter(crash => !isExplainedByAnother({crash, fingerprint, view}));
	const weight = {crashes: countCrashes({crashes, fingerprint}), answers: view.answersTo(fingerprint)};
	if (!hasEnoughCrashes({crashes, weight}) || isRefuted({crashes, weight, view})) {
		return undefined;
	}

	const sharers = listSharers({crashes, fingerprint}).map(sharer => weigh({fingerprint: sharer, view}));
	if (sharers.some(sharer => outweighs(sharer, weight))) {
		return undefined;
	}

	const outweighsAll = sharers.every(sharer => outweighs(weight, sharer));
	const isCertain = outweighsAll && weight.answers === 0 && hasConfirmedCrashes({crashes, fingerprint});
	return {certainty: isCertain ? 'certain' : 'likely', atMs: Math.max(...crashes.map(({atMs}) => atMs))};
}

/** Whether another request, which certainly crashes servers, explains a crash better than the given one. */
export function isExplainedByAnother({crash, fingerprint, view}: ClassifySuspectOptions & {readonly crash: RecordedCrash}): boolean {
	const weight = weigh({fingerprint, view});
	return [...crash.suspects.keys()].some(other => other !== fingerprint && outweighs(weigh({fingerprint: other, view}), weight) && isProvenCause({fingerprint: other, view}));
}

/** Whether the crashes of a request prove by themselves that it causes crashes: it was never answered, and no other request shares them all. */
function isProvenCause({fingerprint, view}: ClassifySuspectOptions): boolean {
	const crashes = [...view.crashesOf(fingerprint)];
	if (view.answersTo(fingerprint) > 0 || !hasConfirmedCrashes({crashes, fingerprint})) {
		return false;
	}

	const weight = weigh({fingerprint, view});
	return listSharers({crashes, fingerprint}).every(sharer => outweighs(weight, weigh({fingerprint: sharer, view})));
}

/** Whether there are enough crashes to quarantine a request: fewer if it was their only suspect. */
function hasEnoughCrashes({crashes, weight}: {readonly crashes: readonly RecordedCrash[]; readonly weight: Weight}): boolean {
	const isSoleSuspect = weight.answers === 0 && crashes.every(({suspects, isConfirmed}) => isConfirmed && suspects.size === 1);
	return weight.crashes >= (isSoleSuspect ? SOLE_SUSPECT_CRASHES : MAX_CRASHES_BEFORE_QUARANTINE);
}

/** Lists the other requests that may have caused all of the given crashes, of which there is at least one. */
function listSharers({crashes, fingerprint}: {readonly crashes: readonly RecordedCrash[]; readonly fingerprint: RequestFingerprint}): readonly RequestFingerprint[] {
	return [...crashes[0]!.suspects.keys()].filter(other => other !== fingerprint && crashes.every(({suspects}) => suspects.has(other)));
}

/** Whether enough servers are known to have ended, one after another. */
function hasConfirmedCrashes({crashes, fingerprint}: {readonly crashes: readonly RecordedCrash[]; readonly fingerprint: RequestFingerprint}): boolean {
	return countCrashes({crashes: crashes.filter(({isConfirmed}) => isConfirmed), fingerprint}) >= MAX_CRASHES_BEFORE_QUARANTINE;
}

/** Whether the answers to a request say that something else causes its crashes. */
function isRefuted({crashes, weight, view}: {readonly crashes: readonly RecordedCrash[]; readonly weight: Weight; readonly view: CrashEvidenceView}): boolean {
	if (weight.answers === 0) {
		return false;
	}

	const firstAtMs = Math.min(...crashes.map(({atMs}) => atMs));
	const all = [...view.crashes].filter(({atMs}) => atMs >= firstAtMs);
	return weight.answers > weight.crashes * MAX_ANSWERS_PER_CRASH || crashes.length <= all.length * MIN_EXPLAINED_SHARE;
}

function weigh({fingerprint, view}: ClassifySuspectOptions): Weight {
	return {crashes: countCrashes({crashes: [...view.crashesOf(fingerprint)], fingerprint}), answers: view.answersTo(fingerprint)};
}

function countCrashes({crashes, fingerprint}: {readonly crashes: readonly RecordedCrash[]; readonly fingerprint: RequestFingerprint}): number {
	return countSeparate(crashes.map(({suspects}) => suspects.get(fingerprint)));
}

/** Whether the evidence against one request is stronger than that against another. */
function outweighs(one: Weight, other: Weight): boolean {
	return one.crashes > other.crashes || (one.crashes === other.crashes && one.answers < other.answers);
}
