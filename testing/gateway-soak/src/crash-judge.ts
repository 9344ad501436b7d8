/** Judges a round of crashing requests beside sound ones. */
import type {CrashFault, CrashRoundResult} from './crash-round.js';

/** Servers that a request may take down long after it had to be known: what is sent again to reach them beyond three is not allowed. */
const MOST_LATE_CRASHES = 3;
/** Servers that a request may take down where gateways can tell each other: three, and one for each that is on its way meanwhile. */
const MOST_CRASHES = 4;

/** Options of {@link judgeCrashRound}. */
export interface JudgeCrashRoundOptions {
	readonly round: Pick<CrashRoundResult, 'crashes' | 'lateCrashes' | 'soundQuarantined'>;
	readonly fault: CrashFault | undefined;
}

/** Lists what was broken, for a person. */
export function judgeCrashRound({round: {crashes, lateCrashes, soundQuarantined}, fault}: JudgeCrashRoundOptions): readonly string[] {
	return [
		...(fault !== 'gateways-killed' && crashes > MOST_CRASHES ? [`${crashes} servers were taken down, ${MOST_CRASHES} at most may be`] : []),
		...(lateCrashes > MOST_LATE_CRASHES ? [`${lateCrashes} servers were taken down long after the request had to be known, ${MOST_LATE_CRASHES} at most may be`] : []),
		...(soundQuarantined > 0 ? [`${soundQuarantined} sound requests were refused as crashing ones`] : []),
	];
}
