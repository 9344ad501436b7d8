/** What the deaths of servers say against a request that was in flight at them. */
import type {KnownDeath} from './crash-records.js';
import type {RequestFingerprint} from './fingerprint.js';

/** How sure it is that a request crashes servers: another one may share all its deaths, or they may be a coincidence. */
export type Certainty = 'certain' | 'likely';

/** Most servers that one request takes down before it is convicted, one after another. */
export const MOST_DEATHS_BEFORE_CONVICTION = 3;
/** Deaths that speak against a request which was alone in flight at each. */
const LONE_DEATHS = 2;

/** Options of {@link judgeSuspect}. */
export interface JudgeSuspectOptions {
	readonly fingerprint: RequestFingerprint;
	readonly deathsOf: (fingerprint: RequestFingerprint) => ReadonlySet<KnownDeath>;
}

/** What is found against a request. */
export interface Finding {
	readonly certainty: Certainty;
	/** Monotonic time of the last death that it rests on, in milliseconds. */
	readonly atMs: number;
}

/** Judges a request; undefined: too few deaths, or another request was in flight at all of them and at more. */
export function judgeSuspect({fingerprint, deathsOf}: JudgeSuspectOptions): Finding | undefined {
	const deaths = [...deathsOf(fingerprint)];
	const isLone = deaths.every(({suspects}) => suspects.size === 1);
	if (deaths.length < (isLone ? LONE_DEATHS : MOST_DEATHS_BEFORE_CONVICTION)) {
		return undefined;
	}

	const sharers = [...deaths[0]!.suspects].filter(other => other !== fingerprint && deaths.every(({suspects}) => suspects.has(other)));
	if (sharers.some(sharer => deathsOf(sharer).size > deaths.length)) {
		return undefined;
	}

	const isCertain = sharers.length === 0 && deaths.length >= MOST_DEATHS_BEFORE_CONVICTION;
	return {certainty: isCertain ? 'certain' : 'likely', atMs: Math.max(...deaths.map(({atMs}) => atMs))};
}
