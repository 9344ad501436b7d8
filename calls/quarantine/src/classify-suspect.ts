/** Decides from the recorded crashes whether a request that was in flight at them causes them. */
import type {RecordedCrash} from './crash-records.js';
import type {RequestFingerprint} from './fingerprint.js';

/** How sure it is that a request crashes servers. `likely`: another request shares all its crashes, or chance may explain them. */
export type Certainty = 'certain' | 'likely';

/** Maximum number of servers that one request can crash, one after another, before it is quarantined. */
export const MAX_CRASHES_BEFORE_QUARANTINE = 3;
/** Number of crashes that quarantine a request if it was the only suspect of each. */
const SOLE_SUSPECT_CRASHES = 2;

/** Options of {@link classifySuspect}. */
export interface ClassifySuspectOptions {
	readonly fingerprint: RequestFingerprint;
	readonly crashesOf: (fingerprint: RequestFingerprint) => ReadonlySet<RecordedCrash>;
}

/** Decision that a request crashes servers. */
export interface Classification {
	readonly certainty: Certainty;
	/** Monotonic time of the last crash that the decision is based on, in milliseconds. */
	readonly atMs: number;
}

/**
 * Classifies a request. Returns undefined if it was in flight at too few crashes, or if another request was in flight
 * at all of them and at further ones.
 */
export function classifySuspect({fingerprint, crashesOf}: ClassifySuspectOptions): Classification | undefined {
	const crashes = [...crashesOf(fingerprint)];
	const isSoleSuspect = crashes.every(({suspects}) => suspects.size === 1);
	if (crashes.length < (isSoleSuspect ? SOLE_SUSPECT_CRASHES : MAX_CRASHES_BEFORE_QUARANTINE)) {
		return undefined;
	}

	const sharers = [...crashes[0]!.suspects].filter(other => other !== fingerprint && crashes.every(({suspects}) => suspects.has(other)));
	if (sharers.some(sharer => crashesOf(sharer).size > crashes.length)) {
		return undefined;
	}

	const isCertain = sharers.length === 0 && crashes.length >= MAX_CRASHES_BEFORE_QUARANTINE;
	return {certainty: isCertain ? 'certain' : 'likely', atMs: Math.max(...crashes.map(({atMs}) => atMs))};
}
