/** Checks the result of a round with crashing requests and sound ones, which crash no server. */
import type {CrashFault, CrashRoundResult} from './crash-round.js';

/** Maximum number of servers that a request may crash long after it had to be quarantined. Retries must not let it reach more than three servers. */
const MAX_LATE_CRASHES = 3;
/** Maximum number of servers that a request may crash while gateways can notify each other: three crashes before the quarantine, and one for a copy that is in flight meanwhile. */
const MAX_CRASHES = 4;

/** Options of {@link checkCrashRound}. */
export interface CheckCrashRoundOptions {
	readonly round: Pick<CrashRoundResult, 'crashes' | 'lateCrashes' | 'soundQuarantined'>;
	readonly fault: CrashFault | undefined;
}

/** Returns a readable description of each violation. */
export function checkCrashRound({round: {crashes, lateCrashes, soundQuarantined}, fault}: CheckCrashRoundOptions): readonly string[] {
	return [
		...(fault !== 'gateways-killed' && crashes > MAX_CRASHES ? [`${crashes} servers crashed, at most ${MAX_CRASHES} are allowed`] : []),
		...(lateCrashes > MAX_LATE_CRASHES ? [`${lateCrashes} servers crashed long after the request had to be quarantined, at most ${MAX_LATE_CRASHES} are allowed`] : []),
		...(soundQuarantined > 0 ? [`${soundQuarantined} sound requests were refused as quarantined`] : []),
	];
}
